package gateway

import (
	"bytes"
	"errors"
	"io"
)

// An eventReader splits a stream into complete events, each including the blank line that ends it.
// A target may end a stream in the middle of an event. That part must not be forwarded, since the
// stream may be resumed at another target.
type eventReader struct {
	source io.Reader

	buf     []byte
	pending []byte // read but not yet returned
	err     error
}

const (
	eventBufferSize = 8 << 10
	// maxEventBytes bounds the size of an event in bytes. It is a thousand times the size of the
	// events that engines send.
	maxEventBytes = 1 << 20
)

// errEventTooLong reports that an event exceeds maxEventBytes.
var errEventTooLong = errors.New("event in the target's stream exceeds 1 MiB")

var eventSeparator = []byte("\n\n")

// next returns all complete events that have been read, and waits for the first one. At the end of
// the stream it returns the remaining bytes, if any, with the error of the source, which is io.EOF
// if the stream is complete.
func (e *eventReader) next() ([]byte, error) {
	for {
		if end := bytes.LastIndex(e.pending, eventSeparator); end >= 0 {
			complete := e.pending[:end+len(eventSeparator)]
			e.pending = e.pending[end+len(eventSeparator):]
			return complete, nil
		}
		if e.err != nil {
			incomplete := e.pending
			e.pending = nil
			return incomplete, e.err
		}
		if len(e.pending) > maxEventBytes {
			return nil, errEventTooLong
		}
		e.fill()
	}
}

func (e *eventReader) fill() {
	if cap(e.buf)-len(e.pending) < eventBufferSize/2 {
		e.buf = make([]byte, 2*len(e.pending)+eventBufferSize)
	}
	copied := copy(e.buf[:cap(e.buf)], e.pending)
	n, err := e.source.Read(e.buf[copied:cap(e.buf)])
	e.pending = e.buf[:copied+n]
	e.err = err
}

// lastEventID returns the ID of the last event in a chunk that has one, or "".
func lastEventID(chunk []byte) string {
	id := ""
	for len(chunk) > 0 {
		line, rest, _ := bytes.Cut(chunk, []byte("\n"))
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
		chunk = rest
	}
	return id
}
