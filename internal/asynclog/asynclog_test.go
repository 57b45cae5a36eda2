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

// slowOut takes nothing until it is released.
type slowOut struct {
	release chan struct{}

	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (s *slowOut) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(b)
}

// full runs write against a ring whose reader takes nothing meanwhile, at a time
// that stands still for a second's worth of lines at most, and returns what was
// written in the end.
func full(write func(r *Writer, log hclog.Logger, second func())) string {
	out := &slowOut{release: make(chan struct{})}
	r := New(out)
	now := time.Unix(1000, 0)
	r.now = func() time.Time { return now }
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	log := hclog.New(&hclog.LoggerOptions{Name: "lf-router", JSONFormat: true, Output: r})
	write(r, log, func() { now = now.Add(time.Second) })
	go func() {
		defer close(done)
		r.Run(ctx)
	}()
	close(out.release)
	cancel()
	<-done
	return out.text.String()
}

// counts returns what the last line about dropped lines says.
func counts(t *testing.T, text string) map[string]int {
	var last droppedLine
	for line := range strings.Lines(text) {
		if strings.Contains(line, "log lines dropped") {
			require.NoError(t, json.Unmarshal([]byte(line), &last))
		}
	}
	return last.Kinds
}

// Symptom: requests wait for a log that nobody reads.
// Sequence: standard output takes nothing; far more lines are written than are
// kept.
// Cause: writing a line waits for its reader.
func TestAStuckLogHoldsNobodyAndTellsWhatItDropped(t *testing.T) {
	text := full(func(r *Writer, _ hclog.Logger, second func()) {
		for i := range 3 * size {
			if i%usualLines == 0 {
				second()
			}
			n, err := fmt.Fprintf(r, "line %d\n", i)
			require.NoError(t, err)
			require.Positive(t, n)
		}
	})
	require.Contains(t, text, "line 0\n")
	require.Equal(t, usualSize, strings.Count(text, "line "))
	require.Equal(t, map[string]int{"": 3*size - usualSize}, counts(t, text))
	require.True(t, strings.HasSuffix(text, "\n"))
}

// Symptom: the line of the request that a user complains of is not in the log, those
// of thousands that were served are.
// Sequence: a log that is read slowly, under load; some requests fail.
// Cause: whatever comes first takes the room.
func TestFailedRequestsAreKeptBeforeServedOnes(t *testing.T) {
	const failed = 900
	text := full(func(_ *Writer, log hclog.Logger, second func()) {
		for i := range 8 * usualLines {
			if i%usualLines == 0 {
				second()
			}
			log.Info("done", "request", i, "status", 200)
		}
		for i := range failed {
			log.Warn("done", "request", fmt.Sprintf("f%d", i), "status", 503)
		}
	})
	require.Equal(t, failed, strings.Count(text, `"request":"f`))
	require.Equal(t, usualSize, strings.Count(text, `"status":200`))
	require.Equal(t, map[string]int{"done": 8*usualLines - usualSize}, counts(t, text))
}

// Symptom: under load, a router's log grows without bound, and what it came to know
// is not in it.
// Sequence: many requests in one second, and a change of configuration.
// Cause: all lines draw on one budget, or on none.
func TestEachKindOfLineHasABudget(t *testing.T) {
	text := full(func(_ *Writer, log hclog.Logger, second func()) {
		for range 2 {
			for range 2 * usualLines {
				log.Info("done", "status", 200)
			}
			log.Info("configuration in force", "number", 7)
			second()
		}
	})
	require.Equal(t, 2*usualLines, strings.Count(text, `"@message":"done"`))
	require.Equal(t, 2, strings.Count(text, "configuration in force"))
	require.Equal(t, map[string]int{"done": 2 * usualLines}, counts(t, text))
}

func TestManyKindsShareOneBudget(t *testing.T) {
	text := full(func(_ *Writer, log hclog.Logger, _ func()) {
		for i := range 4 * usualLines {
			log.Info(fmt.Sprintf("kind %d", i))
		}
	})
	require.Equal(t, kinds+usualLines, strings.Count(text, `"@message":"kind `))
}

// BenchmarkWrite measures one line of a request, as encoded by the library and queued
// here: see the pages for what a request costs with and without its two lines.
func BenchmarkWrite(b *testing.B) {
	r := New(&bytes.Buffer{})
	lines := int64(0)
	r.now = func() time.Time { lines++; return time.Unix(lines/(usualLines/2), 0) }
	log := hclog.New(&hclog.LoggerOptions{Name: "lf-router", JSONFormat: true, Output: r})
	b.ReportAllocs()
	for b.Loop() {
		log.Info("done", "request", "7f", "status", 200, "reason", "answered", "route", "read", "pool", "plain", "account", "acme", "sent", 1, "took", 41, "first", 36)
		select {
		case <-r.lines:
		default:
		}
	}
}
