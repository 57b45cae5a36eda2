package gateway

import (
	"fmt"
	"net/http"
	"time"
)

// writeSlack is how long after its route's time a caller may still read.
const writeSlack = time.Second

// A callerWriter writes an answer to its caller within a deadline: a caller that reads
// nothing would hold its target, and memory, until it closes. What is written late still has
// writeSlack: after a standstill of this process the deadline may be over before the first
// byte of an answer that is ready.
type callerWriter struct {
	http.ResponseWriter

	until time.Time
}

// Unwrap returns the writer of the connection, for http.ResponseController.
func (w *callerWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// WriteHeader implements http.ResponseWriter.
func (w *callerWriter) WriteHeader(status int) {
	w.renew()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *callerWriter) Write(p []byte) (int, error) {
	w.renew()
	return w.ResponseWriter.Write(p)
}

// renew extends a deadline that has passed.
func (w *callerWriter) renew() {
	if now := time.Now(); w.until.Before(now) {
		_ = w.limit(now.Add(writeSlack)) // without it the write fails, and says so
	}
}

// limit sets the deadline.
func (w *callerWriter) limit(until time.Time) error {
	if err := http.NewResponseController(w.ResponseWriter).SetWriteDeadline(until); err != nil {
		return fmt.Errorf("set the deadline for writing to the caller: %w", err)
	}
	w.until = until
	return nil
}
