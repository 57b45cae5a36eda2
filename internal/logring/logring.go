// Package logring takes log lines off the path of requests: a slow or stuck
// reader of the log must never hold a request. What finds the ring full is
// dropped and counted, and the count stands in the log once there is room.
package logring

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// size bounds the lines that wait: some seconds of a busy router.
	size = 4096
	// batchBytes bounds what is written at once.
	batchBytes = 32 << 10
	// pause is how long lines are collected, so that a write serves many.
	pause = 50 * time.Millisecond
)

// A Ring is a bounded ring of log lines. Make it by New.
type Ring struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

var _ io.Writer = &Ring{}

// New returns a ring that writes to out while Run runs.
func New(out io.Writer) *Ring {
	return &Ring{out: out, lines: make(chan []byte, size)}
}

// Write queues one line. It never waits and never fails.
func (r *Ring) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case r.lines <- copied:
	default:
		r.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes lines until ctx ends, and then what still waits.
func (r *Ring) Run(ctx context.Context) {
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

// flush writes a batch that begins with a line, and reports whether there was
// anything.
func (r *Ring) flush(batch []byte) bool {
	if n := r.dropped.Swap(0); n > 0 {
		batch = fmt.Appendf(batch, "{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"@timestamp\":%q,\"count\":%d}\n",
			time.Now().UTC().Format(time.RFC3339Nano), n)
	}
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
