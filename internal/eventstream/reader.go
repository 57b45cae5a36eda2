// Package eventstream reads streams of server-sent events (text/event-stream).
//
// A stream is whole if its framing has ended and no event is incomplete. The framing alone does not
// tell: a target that breaks off a stream may still end the framing of its response.
package eventstream

import (
	"errors"
	"fmt"
	"io"
	"strings"
)

// A TruncatedError reports a stream that ended inside an event. It matches io.ErrUnexpectedEOF.
type TruncatedError struct {
	// Rest is the length in bytes of the incomplete event.
	Rest int
}

// Error returns the length of the incomplete event.
func (e TruncatedError) Error() string {
	return fmt.Sprintf("the target ended its stream inside an event, after %d bytes of it (resume the stream after the last whole event)", e.Rest)
}

// Unwrap returns io.ErrUnexpectedEOF.
func (e TruncatedError) Unwrap() error {
	return io.ErrUnexpectedEOF
}

// ErrEventTooLong reports an event of more than the reader's MaxEventBytes.
var ErrEventTooLong = errors.New("an event in the target's stream exceeds the limit (check the target)")

const bufferSize = 8 << 10

// A Reader splits a stream into whole events. Set the exported fields before the first call.
type Reader struct {
	Source io.Reader
	// MaxEventBytes limits the length of an event, which is held until it is complete.
	MaxEventBytes int

	scanner scanner
	buf     []byte
	pending []byte // read but not yet returned; a part of buf
	scanned int    // bytes of pending that the scanner has seen
	whole   int    // bytes of pending up to the end of the last whole event
	unread  []byte // returned by Next but not yet by Read
	err     error  // of Source
}

// IsEventStream reports whether a response is a stream of events that can be read, by its Content-Type and
// Content-Encoding.
func IsEventStream(contentType, contentEncoding string) bool {
	mediaType, _, _ := strings.Cut(contentType, ";")
	return strings.EqualFold(strings.TrimSpace(mediaType), "text/event-stream") && contentEncoding == ""
}

// LastID returns the ID of the last event that Next has returned and that has one, or "".
func (r *Reader) LastID() string {
	return r.scanner.lastID
}

// Resumable reports whether the stream can be resumed after the last event that Next has returned.
// Events that no ID identifies would come twice.
func (r *Reader) Resumable() bool {
	return !r.scanner.noID
}

// Next returns the whole events that have been read, and waits for the first one. The bytes are valid
// until the next call. At the end of a whole stream it returns io.EOF, at an end inside an event a
// TruncatedError, and otherwise the error of Source. What was read of an incomplete event is dropped.
func (r *Reader) Next() ([]byte, error) {
	for {
		if r.scan(); r.whole > 0 {
			events := r.pending[:r.whole]
			r.pending = r.pending[r.whole:]
			r.scanned, r.whole = r.scanned-r.whole, 0
			return events, nil
		}
		switch {
		case errors.Is(r.err, io.EOF) && len(r.pending) > 0:
			return nil, TruncatedError{Rest: len(r.pending)}
		case r.err != nil:
			return nil, r.err
		case len(r.pending) > r.MaxEventBytes:
			return nil, ErrEventTooLong
		}
		r.fill()
	}
}

// Read implements io.Reader. It returns whole events only, and the errors of Next.
func (r *Reader) Read(p []byte) (int, error) {
	if len(r.unread) == 0 {
		events, err := r.Next()
		if err != nil {
			return 0, err
		}
		r.unread = events
	}
	n := copy(p, r.unread)
	r.unread = r.unread[n:]
	return n, nil
}

func (r *Reader) scan() {
	if end := r.scanner.scan(r.pending, r.scanned); end > 0 {
		r.whole = end
	}
	r.scanned = len(r.pending)
}

func (r *Reader) fill() {
	if cap(r.buf)-len(r.pending) < bufferSize/2 {
		r.buf = make([]byte, 2*len(r.pending)+bufferSize)
	}
	copied := copy(r.buf[:cap(r.buf)], r.pending)
	n, err := r.Source.Read(r.buf[copied:cap(r.buf)])
	r.pending = r.buf[:copied+n]
	r.err = err
}
