package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/socket"
)

// A Request is one attempt to send a caller's request to a target.
type Request struct {
	Method string
	// Path holds the path and query as the caller sent them.
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// Sends are the sends of the caller's request, this one not included. Its ID is the one that the
	// response must have in the header IDHeader. If IDHeader is "", responses have no ID and the
	// connection is not reused.
	Sends    *Sends
	IDHeader string
}

// A Response is a target's response whose header has been read.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1 if it is not stated.
	Length int64

	pool          *Pool
	target        fleet.Incarnation
	conn          *Conn
	httpResponse  *http.Response
	writer        socket.MessageWriter // of the request
	complete      bool
	readErr       error // the first one; a socket reports its error once, and then an end
	stopAfterFunc func() bool
	closeOnce     sync.Once
}

// Send writes a request and reads the header of its response. The deadline applies to the whole
// exchange, including the body, and the end of ctx aborts it. Unless the error is a DialError or a
// NotSentError, the target may have executed the request.
func (p *Pool) Send(ctx context.Context, target fleet.Incarnation, conn *Conn, request Request, deadline time.Time) (*Response, error) {
	response := &Response{pool: p, target: target, conn: conn, writer: socket.MessageWriter{Conn: conn.Conn, Taken: &conn.taken}}
	request.Sends.add(conn)
	response.stopAfterFunc = context.AfterFunc(ctx, func() { _ = conn.Close() }) // fails the pending read
	if err := response.exchange(request, deadline); err != nil {
		response.Close()
		if ctx.Err() != nil {
			return nil, fmt.Errorf("the caller left: %w", ctx.Err())
		}
		return nil, err
	}
	return response, nil
}

func (r *Response) exchange(request Request, deadline time.Time) error {
	// The socket's deadline uses the runtime's clock, not the fleet's.
	timeout := deadline.Sub(r.pool.Clock.Now())
	if err := r.conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return &NotSentError{Err: err}
	}
	if err := r.writeRequest(request); err != nil {
		return err
	}
	err := r.readHeader(request)
	if err == nil {
		return nil
	}
	_ = r.conn.Close() // ends the write of the body
	<-r.writer.Done()
	if notSent := r.notSent(); notSent != nil {
		return notSent
	}
	return err
}

// writeRequest writes a request as far as it fits into the send buffer, and the rest in the background: a
// target that responds before it has read the whole body would block until the router reads.
func (r *Response) writeRequest(request Request) error {
	var buffer bytes.Buffer
	buffer.Grow(1024 + min(len(request.Body), maxInlineBody))
	fmt.Fprintf(&buffer, "%s %s HTTP/1.1\r\nHost: %s\r\n", request.Method, request.Path, request.Host)
	if len(request.Body) > 0 || request.Method != http.MethodGet && request.Method != http.MethodHead {
		buffer.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	if err := request.Header.Write(&buffer); err != nil {
		return &NotSentError{Err: err}
	}
	buffer.WriteString("\r\n")
	// A short body goes out with the header, in one segment where it fits.
	inline := min(len(request.Body), maxInlineBody)
	buffer.Write(request.Body[:inline])
	// What ends the write is told by its result, and a response may have come all the same.
	_, _ = r.writer.Write(buffer.Bytes())
	r.writer.Finish(request.Body[inline:])
	return r.notSent()
}

// notSent returns a NotSentError if the write of the request has failed before its first byte.
func (r *Response) notSent() error {
	if written, err := r.writer.Result(); written == 0 && err != nil {
		return &NotSentError{Err: err}
	}
	return nil
}

// readHeader reads response headers until one belongs to this request. It skips one complete
// response to another request: that response was late, and the expected one follows on the same
// connection.
func (r *Response) readHeader(request Request) error {
	const firstFinalStatus = 200
	skippedForeign := false
	r.conn.limiter.remaining = maxHeaderBytes
	for {
		response, err := http.ReadResponse(r.conn.reader, &http.Request{Method: request.Method})
		if err != nil && r.conn.limiter.remaining <= 0 {
			err = errHeaderTooLong // replaces the parse error that the limit caused
		}
		if err != nil {
			return fmt.Errorf("read the response: %w", err)
		}
		if response.StatusCode < firstFinalStatus {
			continue
		}
		id := request.Sends.ID
		if request.IDHeader != "" {
			id = response.Header.Get(request.IDHeader)
		}
		if id != request.Sends.ID && id != "" && r.conn.reused && !skippedForeign && hasDelimitedBody(response) {
			skippedForeign = true
			r.conn.limiter.remaining = math.MaxInt64
			if _, err := io.Copy(io.Discard, response.Body); err != nil {
				return fmt.Errorf("skip the response to another request: %w", err)
			}
			r.conn.limiter.remaining = maxHeaderBytes
			continue
		}
		if id != request.Sends.ID {
			return &ResponseIDError{Want: request.Sends.ID, Got: id}
		}
		r.conn.limiter.remaining = math.MaxInt64
		r.httpResponse = response
		r.Status, r.Header, r.Length = response.StatusCode, response.Header, response.ContentLength
		r.httpResponse.Close = r.httpResponse.Close || skippedForeign || request.IDHeader == ""
		return nil
	}
}

// hasDelimitedBody reports whether the response states where its body ends.
func hasDelimitedBody(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// Read reads the body. It returns io.EOF only if the body is complete. One that ends with its
// connection is complete if the target has ended it in order: TCP tells a reset from that, but may tell
// the write of the request alone.
func (r *Response) Read(p []byte) (int, error) {
	if r.readErr != nil {
		return 0, r.readErr
	}
	n, err := r.httpResponse.Body.Read(p)
	if errors.Is(err, io.EOF) && r.Framing() == fleet.FramingClose && r.httpResponse.Body != http.NoBody {
		if endErr := r.writer.CheckEnd(); endErr != nil {
			err = endErr
		}
	}
	r.complete = errors.Is(err, io.EOF)
	r.readErr = err
	return n, err
}

// Framing returns how the response states where its body ends.
func (r *Response) Framing() fleet.Framing {
	switch {
	case len(r.httpResponse.TransferEncoding) > 0:
		return fleet.FramingChunked
	case r.Length >= 0:
		return fleet.FramingLength
	default:
		return fleet.FramingClose
	}
}

// WriteState describes how far the write of the request has come: "whole", "unfinished", or why it failed.
func (r *Response) WriteState() string {
	select {
	case <-r.writer.Done():
	default:
		return "unfinished"
	}
	if _, err := r.writer.Result(); err != nil {
		return err.Error()
	}
	return "whole"
}

// Complete reports whether the body was read to its end.
func (r *Response) Complete() bool {
	return r.complete
}

// Close returns the connection to the pool if it is at a clean message boundary, at once or when the
// request has been written. Otherwise it closes the connection, which aborts a request that still runs.
func (r *Response) Close() {
	r.closeOnce.Do(r.release)
}

// Discard closes the connection, even at a clean message boundary. It is for a response that cannot be
// right, after which the target may end the connection at any time.
func (r *Response) Discard() {
	r.closeOnce.Do(func() {
		r.stopAfterFunc()
		_ = r.conn.Close() // nothing more is read or written
	})
}

func (r *Response) release() {
	if active := r.stopAfterFunc(); !active || !r.complete || !r.atBoundary() {
		_ = r.conn.Close() // nothing more is read or written
		return
	}
	select {
	case <-r.writer.Done():
		r.putBack(0)
	default:
		go r.putBack(bodyWriteGrace) // a whole response is not held back
	}
}

// putBack returns the connection to the pool once the request has been written. While the body is still
// being written, the connection cannot be reused: the target would read the rest of the body as the
// next request.
func (r *Response) putBack(timeout time.Duration) {
	if !r.writer.Wait(timeout) {
		_ = r.conn.Close() // ends the write
		return
	}
	r.pool.putIdle(r.target, r.conn, idleExpiry(r.pool.Clock.Now(), r.Header))
}

// atBoundary reports whether the response ends at a clean message boundary.
func (r *Response) atBoundary() bool {
	return !r.httpResponse.Close && hasDelimitedBody(r.httpResponse) && r.conn.reader.Buffered() == 0 && !r.conn.deadlineReader.DeadlineExceeded()
}
