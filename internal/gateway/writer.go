package gateway

import (
	"fmt"
	"net/http"
	"time"
)

// writeGrace is how long after its deadline a request's response may still be written.
const writeGrace = time.Second

// A deadlineWriter writes a response to a caller within a deadline. Otherwise a caller that does
// not read would occupy a target, and memory, until it closes the connection. A write after the
// deadline still gets writeGrace, since after a suspension of the process the deadline may have
// passed before a response that is ready can be written.
type deadlineWriter struct {
	http.ResponseWriter

	deadline time.Time
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (w *deadlineWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// WriteHeader implements http.ResponseWriter.
func (w *deadlineWriter) WriteHeader(status int) {
	w.extendDeadline()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *deadlineWriter) Write(data []byte) (int, error) {
	w.extendDeadline()
	return w.ResponseWriter.Write(data)
}

// extendDeadline extends a deadline that has passed.
func (w *deadlineWriter) extendDeadline() {
	if now := time.Now(); w.deadline.Before(now) {
		_ = w.setDeadline(now.Add(writeGrace)) // if this fails, the write fails and returns the error
	}
}

// setDeadline sets the write deadline of the connection.
func (w *deadlineWriter) setDeadline(deadline time.Time) error {
	if err := http.NewResponseController(w.ResponseWriter).SetWriteDeadline(deadline); err != nil {
		return fmt.Errorf("set the write deadline of the connection to the caller: %w", err)
	}
	w.deadline = deadline
	return nil
}
