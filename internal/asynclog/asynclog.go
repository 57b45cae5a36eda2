// Package asynclog writes log lines asynchronously, so that a slow or blocked reader of the log never
// delays a request. Lines are rate limited by kind. Warnings, including the lines of failed requests,
// have priority. Dropped lines are counted, and the counts are logged once the queue has space.
//
// Lines are collected for a short time and written together. Lines of rare kinds, such as those on
// operators' orders and configurations, are written at once, so that they are not lost if the process
// is killed.
package asynclog

import (
	"context"
	"encoding/json"
	"io"
	"sync"
	"time"
)

const (
	// queueSize bounds the queued lines. It holds some seconds of a busy router.
	queueSize = 4096
	// normalQueueSize is how many lines may be queued before lines below warn level are dropped.
	normalQueueSize = queueSize * 3 / 4
	// batchBytes bounds a batch: no line is added to a batch of this size.
	batchBytes = 32 << 10
	// batchDelay is the time between two writes, during which lines are collected for a batch. It ends
	// early for a line that is written at once.
	batchDelay = 50 * time.Millisecond
	// promptLinesPerSecond is how many lines of one kind are written at once per second. It bounds the
	// additional writes of a process that logs several kinds of lines for each request.
	promptLinesPerSecond = 4
)

// A Writer is a bounded queue of log lines. Create it with New.
type Writer struct {
	out   io.Writer
	lines chan []byte
	// prompt has a value if a queued line is to be written at once.
	prompt chan struct{}
	now    func() time.Time
	after  func(time.Duration) <-chan time.Time

	mu           sync.Mutex
	limiter      rateLimiter
	totalDropped int // lines dropped since the start
}

var _ io.Writer = &Writer{}

// New returns a Writer with an empty queue. Run writes the lines to out.
func New(out io.Writer) *Writer {
	return &Writer{out: out, lines: make(chan []byte, queueSize), prompt: make(chan struct{}, 1), now: time.Now, after: time.After}
}

// Write queues one line, or drops it. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	counter, ok := w.limiter.allow(w.now(), line)
	if !ok || !isUrgent(line) && len(w.lines) >= normalQueueSize {
		w.drop(counter)
		return len(line), nil
	}
	copied := append([]byte(nil), line...)
	select {
	case w.lines <- copied:
	default:
		w.drop(counter)
		return len(line), nil
	}
	if counter.linesInSecond <= promptLinesPerSecond {
		select {
		case w.prompt <- struct{}{}:
		default: // the queue is about to be written already
		}
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped since the start.
func (w *Writer) Dropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.totalDropped
}

func (w *Writer) drop(counter *kindCounter) {
	counter.dropped++
	w.totalDropped++
}

// Run writes lines until ctx ends, and then the lines that are still queued.
func (w *Writer) Run(ctx context.Context) {
	for {
		var line []byte
		select {
		case <-ctx.Done():
			w.flushAll()
			return
		case line = <-w.lines:
		}
		select {
		case <-w.prompt: // its line is in this batch, unless the batch is full
		default:
		}
		if w.flush(line) >= batchBytes {
			continue // lines may be left in the queue
		}
		select {
		case <-ctx.Done():
		case <-w.prompt:
		case <-w.after(batchDelay):
		}
	}
}

// droppedLinesMessage is the log line with the counts of dropped lines.
type droppedLinesMessage struct {
	Level   string         `json:"@level"`
	Message string         `json:"@message"`
	Time    time.Time      `json:"@timestamp"`
	Count   int            `json:"count"`
	Kinds   map[string]int `json:"kinds"`
}

// droppedLine returns a line with the counts since the last such line, or nil if none were dropped.
func (w *Writer) droppedLine() []byte {
	w.mu.Lock()
	counts, total := w.limiter.takeDropped()
	now := w.now().UTC()
	w.mu.Unlock()
	if total == 0 {
		return nil
	}
	// All fields have types that can always be encoded.
	line, _ := json.Marshal(droppedLinesMessage{Level: "warn", Message: "log lines dropped", Time: now, Count: total, Kinds: counts})
	return append(line, '\n')
}

// flushAll writes all queued lines.
func (w *Writer) flushAll() {
	for {
		if w.flush(nil) == 0 {
			return
		}
	}
}

// flush appends queued lines to the batch, writes it and returns its size in bytes.
func (w *Writer) flush(batch []byte) int {
	batch = append(batch, w.droppedLine()...)
	for len(batch) < batchBytes {
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
			continue
		default:
		}
		break
	}
	if len(batch) > 0 {
		// The error is ignored, since a broken log must not stop the process.
		_, _ = w.out.Write(batch)
	}
	return len(batch)
}
