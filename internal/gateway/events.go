package gateway

import (
	"bytes"
	"errors"
	"io"
)

// An eventReader cuts a stream into whole events, each with the empty line that
// ends it. A target may break off in the middle of an event: what is not whole
// must reach no caller that could go on elsewhere.
type eventReader struct {
	source io.Reader

	buf     []byte
	pending []byte // read and not yet returned
	err     error
}

const (
	eventBufferSize = 8 << 10
	// maxEventBytes bounds what is held of one event, in bytes: a thousand times what
	// engines send.
	maxEventBytes = 1 << 20
)

// errEventTooLong says that an event does not end.
var errEventTooLong = errors.New("an event of the stream is too long")

var eventSeparator = []byte("\n\n")

// next returns all whole events that are there, waiting for the first. Behind
// the last it returns what is left, which may be nothing, and the error of the
// source; io.EOF is the end of a whole stream.
func (e *eventReader) next() ([]byte, error) {
	for {
		if end := bytes.LastIndex(e.pending, eventSeparator); end >= 0 {
			whole := e.pending[:end+len(eventSeparator)]
			e.pending = e.pending[end+len(eventSeparator):]
			return whole, nil
		}
		if e.err != nil {
			rest := e.pending
			e.pending = nil
			return rest, e.err
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
	kept := copy(e.buf[:cap(e.buf)], e.pending)
	n, err := e.source.Read(e.buf[kept:cap(e.buf)])
	e.pending = e.buf[:kept+n]
	e.err = err
}

// lastEventID returns the ID of the last event of a piece, or "" if none has one.
func lastEventID(piece []byte) string {
	id := ""
	for len(piece) > 0 {
		line, rest, _ := bytes.Cut(piece, []byte("\n"))
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
		piece = rest
	}
	return id
}
