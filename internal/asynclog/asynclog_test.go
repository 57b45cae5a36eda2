package asynclog

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"
)

// blockedWriter blocks writes until release is closed.
type blockedWriter struct {
	release chan struct{}

	mu      sync.Mutex
	written bytes.Buffer
}

// Write implements io.Writer.
func (s *blockedWriter) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(b)
}

// writeWhileBlocked calls write with a Writer whose output is blocked, then unblocks the output and
// returns everything that was written. The clock advances only when write calls nextSecond, so that
// write controls how many lines are logged per second.
func writeWhileBlocked(write func(w *Writer, log hclog.Logger, nextSecond func())) string {
	out := &blockedWriter{release: make(chan struct{})}
	w := New(out)
	now := time.Unix(1000, 0)
	w.now = func() time.Time { return now }
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	log := hclog.New(&hclog.LoggerOptions{Name: "lf-router", JSONFormat: true, Output: w})
	write(w, log, func() { now = now.Add(time.Second) })
	go func() {
		defer close(done)
		w.Run(ctx)
	}()
	close(out.release)
	cancel()
	<-done
	return out.written.String()
}

// droppedCounts returns the counts by message from the last line about dropped lines.
func droppedCounts(t *testing.T, written string) map[string]int {
	var last droppedLinesMessage
	for line := range strings.Lines(written) {
		if strings.Contains(line, "log lines dropped") {
			require.NoError(t, json.Unmarshal([]byte(line), &last))
		}
	}
	return last.Kinds
}

// Logging must not block if standard output is not read and the queue is full: requests would wait.
func TestWriteDoesNotBlockAndCountsDroppedLines(t *testing.T) {
	written := writeWhileBlocked(func(w *Writer, _ hclog.Logger, nextSecond func()) {
		for i := range 3 * queueSize {
			if i%normalLinesPerSecond == 0 {
				nextSecond()
			}
			n, err := fmt.Fprintf(w, "line %d\n", i)
			require.NoError(t, err)
			require.Positive(t, n)
		}
	})
	require.Contains(t, written, "line 0\n")
	require.Equal(t, normalQueueSize, strings.Count(written, "line "))
	require.Equal(t, map[string]int{"": 3*queueSize - normalQueueSize}, droppedCounts(t, written))
	require.True(t, strings.HasSuffix(written, "\n"))
}

// If the log is read slowly under load, the queue must keep space for the lines of failed requests.
// Otherwise thousands of lines of successful requests displace those that users ask about.
func TestKeepsWarningsWhenQueueIsFull(t *testing.T) {
	const failed = 900
	written := writeWhileBlocked(func(_ *Writer, log hclog.Logger, nextSecond func()) {
		for i := range 8 * normalLinesPerSecond {
			if i%normalLinesPerSecond == 0 {
				nextSecond()
			}
			log.Info("done", "request", i, "status", 200)
		}
		for i := range failed {
			log.Warn("done", "request", fmt.Sprintf("f%d", i), "status", 503)
		}
	})
	require.Equal(t, failed, strings.Count(written, `"request":"f`))
	require.Equal(t, normalQueueSize, strings.Count(written, `"status":200`))
	require.Equal(t, map[string]int{"done": 8*normalLinesPerSecond - normalQueueSize}, droppedCounts(t, written))
}

// Many request lines in one second must not grow the log without bound, nor displace other lines such
// as a change of configuration.
func TestLimitsLinesPerKind(t *testing.T) {
	written := writeWhileBlocked(func(_ *Writer, log hclog.Logger, nextSecond func()) {
		for range 2 {
			for range 2 * normalLinesPerSecond {
				log.Info("done", "status", 200)
			}
			log.Info("configuration in force", "number", 7)
			nextSecond()
		}
	})
	require.Equal(t, 2*normalLinesPerSecond, strings.Count(written, `"@message":"done"`))
	require.Equal(t, 2, strings.Count(written, "configuration in force"))
	require.Equal(t, map[string]int{"done": 2 * normalLinesPerSecond}, droppedCounts(t, written))
}

func TestExcessKindsShareOneLimit(t *testing.T) {
	written := writeWhileBlocked(func(_ *Writer, log hclog.Logger, _ func()) {
		for i := range 4 * normalLinesPerSecond {
			log.Info(fmt.Sprintf("kind %d", i))
		}
	})
	require.Equal(t, maxKinds+normalLinesPerSecond, strings.Count(written, `"@message":"kind `))
}

// BenchmarkWrite measures the cost of one line of a request, encoded by hclog and queued by Writer.
func BenchmarkWrite(b *testing.B) {
	w := New(&bytes.Buffer{})
	lines := int64(0)
	w.now = func() time.Time { lines++; return time.Unix(lines/(normalLinesPerSecond/2), 0) }
	log := hclog.New(&hclog.LoggerOptions{Name: "lf-router", JSONFormat: true, Output: w})
	b.ReportAllocs()
	for b.Loop() {
		log.Info("done", "request", "7f", "status", 200, "reason", "answered", "route", "read", "pool", "plain", "account", "acme", "sent", 1, "took", 41, "first", 36)
		select {
		case <-w.lines:
		default:
		}
	}
}

// Guards against the loss of lines on operators' orders and configurations when the process is killed
// shortly after: they must not wait until the end of the delay that collects lines for a batch.
func TestRareLinesAreWrittenAtOnce(t *testing.T) {
	written := make(chan string, queueSize)
	w := New(writerFunc(func(b []byte) { written <- string(b) }))
	delays := make(chan struct{}, queueSize)
	endDelay := make(chan time.Time)
	w.after = func(time.Duration) <-chan time.Time {
		delays <- struct{}{}
		return endDelay
	}
	w.now = func() time.Time { return time.Unix(1000, 0) }
	log := hclog.New(&hclog.LoggerOptions{Name: "lf-keeper", JSONFormat: true, Output: w})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go w.Run(ctx)
	requireWritten := func(message string) {
		log.Info(message)
		select {
		case batch := <-written:
			require.Contains(t, batch, message)
		case <-time.After(5 * time.Second):
			require.Fail(t, "not written before the end of the delay", message)
		}
		<-delays
	}
	for range promptLinesPerSecond {
		requireWritten("done")
	}
	for range 10 {
		log.Info("done") // frequent by now
	}
	requireWritten("order")
	requireWritten("configuration accepted")
	log.Info("done")
	select {
	case batch := <-written:
		require.Fail(t, "a frequent line is written before the end of the delay", batch)
	case <-time.After(50 * time.Millisecond):
	}
	endDelay <- time.Time{}
	require.Contains(t, <-written, `"done"`)
}

// Guards against lines that are dropped, although the log is read fast, because full batches are
// written with a delay between them.
func TestFullBatchesAreWrittenWithoutDelay(t *testing.T) {
	written := make(chan int, queueSize)
	w := New(writerFunc(func(b []byte) { written <- len(b) }))
	w.after = func(time.Duration) <-chan time.Time { return nil }
	line := strings.Repeat("x", 1023) + "\n"
	const lineCount = 5 * batchBytes / 1024
	for range lineCount {
		_, err := w.Write([]byte(line))
		require.NoError(t, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go w.Run(ctx)
	for total := 0; total < lineCount*len(line); {
		select {
		case size := <-written:
			total += size
		case <-time.After(10 * time.Second):
			require.Fail(t, "a batch waits although the batch before was full", total)
		}
	}
}

// writerFunc is an io.Writer that calls a function.
type writerFunc func(b []byte)

// Write implements io.Writer.
func (f writerFunc) Write(b []byte) (int, error) {
	f(b)
	return len(b), nil
}
