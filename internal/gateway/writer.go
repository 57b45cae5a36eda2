package gateway

import (
	"fmt"
	"net/http"
	"time"
)

// writeGrace is how long after its route's time a caller may still read.
const writeGrace = time.Second

// A callerWriter writes an answer to its caller within a deadline: a caller that reads
// nothing would hold its target, and memory, until it closes. What is written late still has
// writeSlack: after a standstill of this process the deadline may be over before the first
// byte of an answer that is ready.
type deadlineWriter struct {
	http.ResponseWriter

	deadline time.Time
}

// Unwrap returns the writer of the connection, for http.ResponseController.
func (w *deadlineWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// WriteHeader implements http.ResponseWriter.
func (w *deadlineWriter) WriteHeader(status int) {
	w.extendDeadline()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *deadlineWriter) Write(p []byte) (int, error) {
	w.extendDeadline()
	return w.ResponseWriter.Write(p)
}

// extendDeadline extends a deadline that has passed.
func (w *deadlineWriter) extendDeadline() {
	if now := time.Now(); w.deadline.Before(now) {
		_ = w.setDeadline(now.Add(writeGrace)) // without it the write fails, and says so
	}
}

// limit sets the deadline.
func (w *deadlineWriter) setDeadline(until time.Time) error {
	if err := http.NewResponseController(w.ResponseWriter).SetWriteDeadline(until); err != nil {
		return fmt.Errorf("set the deadline for writing to the caller: %w", err)
	}
	w.deadline = until
	return nil
}
