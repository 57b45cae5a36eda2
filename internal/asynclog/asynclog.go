// Package asynclog takes log lines off the path of requests: a slow or stuck
// reader of the log must never hold a request. Lines are bounded by kind, and
// warnings, which the lines of failed requests are, go before others. What is left
// out is counted, and the counts stand in the log once there is room.
package asynclog

import (
	"context"
	"encoding/json"
	"io"
	"sync"
	"time"
)

const (
	// size bounds the lines that wait: some seconds of a busy router.
	size = 4096
	// usualSize is the part of them that lines may take which are no warnings.
	usualSize = size * 3 / 4
	// batchBytes bounds what is written at once.
	batchBytes = 32 << 10
	// pause is how long lines are collected, so that a write serves many.
	pause = 50 * time.Millisecond
)

// A Writer is a bounded ring of log lines. Make it by New.
type Writer struct {
	out   io.Writer
	lines chan []byte
	now   func() time.Time

	mu     sync.Mutex
	budget budget
	left   int // lines dropped since the start
}

var _ io.Writer = &Writer{}

// New returns a ring that writes to out while Run runs.
func New(out io.Writer) *Writer {
	return &Writer{out: out, lines: make(chan []byte, size), now: time.Now}
}

// Write queues one line. It never waits and never fails.
func (r *Writer) Write(line []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k, ok := r.budget.take(r.now(), line)
	if !ok || !urgent(line) && len(r.lines) >= usualSize {
		r.drop(k)
		return len(line), nil
	}
	copied := append([]byte(nil), line...)
	select {
	case r.lines <- copied:
	default:
		r.drop(k)
	}
	return len(line), nil
}

// Dropped returns how many lines were left out since the start.
func (r *Writer) Dropped() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.left
}

func (r *Writer) drop(k *kind) {
	k.dropped++
	r.left++
}

// Run writes lines until ctx ends, and then what still waits.
func (r *Writer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			for r.flush(nil) {
			}
			return
		case line := <-r.lines:
			r.flush(line)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// droppedLine is the line that counts what was left out.
type droppedLine struct {
	Level   string         `json:"@level"`
	Message string         `json:"@message"`
	At      time.Time      `json:"@timestamp"`
	Count   int            `json:"count"`
	Kinds   map[string]int `json:"kinds"`
}

// dropped returns the line that counts what was left out since the last one, if
// anything was.
func (r *Writer) dropped() []byte {
	r.mu.Lock()
	counts, all := r.budget.droppedLines()
	now := r.now().UTC()
	r.mu.Unlock()
	if all == 0 {
		return nil
	}
	// It holds nothing that cannot be encoded.
	line, _ := json.Marshal(droppedLine{Level: "warn", Message: "log lines dropped", At: now, Count: all, Kinds: counts})
	return append(line, '\n')
}

// flush writes a batch that begins with a line, and reports whether there was
// anything.
func (r *Writer) flush(batch []byte) bool {
	batch = append(batch, r.dropped()...)
	for len(batch) < batchBytes {
		select {
		case line := <-r.lines:
			batch = append(batch, line...)
			continue
		default:
		}
		break
	}
	if len(batch) == 0 {
		return false
	}
	// A log that takes nothing is no reason to stop serving.
	_, _ = r.out.Write(batch)
	return true
}
