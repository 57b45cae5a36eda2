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

	buf  []byte
	rest []byte // read and not yet returned
	err  error
}

const (
	eventBuffer = 8 << 10
	// longestEvent bounds what is held of one event, in bytes: a thousand times what
	// engines send.
	longestEvent = 1 << 20
)

// errLongEvent says that an event does not end.
var errLongEvent = errors.New("an event of the stream is too long")

var eventEnd = []byte("\n\n")

// next returns all whole events that are there, waiting for the first. Behind
// the last it returns what is left, which may be nothing, and the error of the
// source; io.EOF is the end of a whole stream.
func (e *eventReader) next() ([]byte, error) {
	for {
		if end := bytes.LastIndex(e.rest, eventEnd); end >= 0 {
			whole := e.rest[:end+len(eventEnd)]
			e.rest = e.rest[end+len(eventEnd):]
			return whole, nil
		}
		if e.err != nil {
			rest := e.rest
			e.rest = nil
			return rest, e.err
		}
		if len(e.rest) > longestEvent {
			return nil, errLongEvent
		}
		e.fill()
	}
}

func (e *eventReader) fill() {
	if cap(e.buf)-len(e.rest) < eventBuffer/2 {
		e.buf = make([]byte, 2*len(e.rest)+eventBuffer)
	}
	kept := copy(e.buf[:cap(e.buf)], e.rest)
	n, err := e.source.Read(e.buf[kept:cap(e.buf)])
	e.rest = e.buf[:kept+n]
	e.err = err
}

// lastID returns the ID of the last event of a piece, or "" if none has one.
func lastID(piece []byte) string {
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
