// Package target sends one request to one target and returns its response.
//
// Each connection carries one request and is then closed. A late, duplicated or misrouted
// response therefore reaches no caller, because no later request uses the connection. Connections
// are opened ahead, so this costs no extra round trip.
package target

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http/httputil"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/socket"
)

const (
	dialTimeout = 2 * time.Second
	// maxIdleTime is how long an unused connection is kept. Servers close idle connections, and a
	// request sent on a closing one has an unknown outcome.
	maxIdleTime = 2 * time.Second
	// maxSpareConns limits the unused connections to one target.
	maxSpareConns  = 4
	readBufferSize = 16 << 10
	// MaxResponseWait is the longest time that an exchange of a request without a deadline may
	// take.
	MaxResponseWait = 10 * time.Minute
)

// A DialError reports that no connection was opened, so no byte was sent.
type DialError struct {
	Address string
	Err     error
}

// Error returns the address and the cause.
func (e *DialError) Error() string {
	return fmt.Sprintf("dial %s: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *DialError) Unwrap() error {
	return e.Err
}

// ErrTruncated reports that a response ended before its stated length.
var ErrTruncated = errors.New("the response ended before its stated length")

// A Dialer opens connections to targets, some of them ahead of use.
type Dialer struct {
	mu     sync.Mutex
	spare  map[string][]spareConn
	closed bool
}

type spareConn struct {
	net.Conn
	expiresAt time.Time
}

// Conn returns a connection over which nothing was sent yet.
func (d *Dialer) Conn(ctx context.Context, address string) (net.Conn, error) {
	for {
		conn, ok := d.takeSpare(address)
		if !ok {
			break
		}
		if time.Now().Before(conn.expiresAt) && socket.IsIdle(conn.Conn) {
			go d.preconnect(address)
			return conn.Conn, nil
		}
		_ = conn.Close() // unused, so no request is lost
	}
	conn, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	go d.preconnect(address)
	return conn, nil
}

// Close closes the unused connections and stops opening new ones ahead.
func (d *Dialer) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, conns := range d.spare {
		for _, conn := range conns {
			_ = conn.Close() // unused, so no request is lost
		}
	}
	d.spare = nil
	d.closed = true
}

// Prune closes the connections that were unused for maxIdleTime.
func (d *Dialer) Prune(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for address, conns := range d.spare {
		kept := conns[:0]
		for _, conn := range conns {
			if now.Before(conn.expiresAt) {
				kept = append(kept, conn)
				continue
			}
			_ = conn.Close() // unused, so no request is lost
		}
		d.spare[address] = kept
		if len(kept) == 0 {
			delete(d.spare, address)
		}
	}
}

func (d *Dialer) takeSpare(address string) (spareConn, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	conns := d.spare[address]
	if len(conns) == 0 {
		return spareConn{}, false
	}
	conn := conns[len(conns)-1]
	d.spare[address] = conns[:len(conns)-1]
	return conn, true
}

// preconnect opens a connection for the next request to the address.
func (d *Dialer) preconnect(address string) {
	if !d.needsSpare(address) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := dial(ctx, address)
	if err != nil {
		return // the next request gets the same error and reports it
	}
	if !d.addSpare(address, conn) {
		_ = conn.Close() // unused, so no request is lost
	}
}

func (d *Dialer) needsSpare(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.closed && len(d.spare[address]) < maxSpareConns
}

// addSpare adds a spare connection, unless enough others were added while it was opened.
func (d *Dialer) addSpare(address string, conn net.Conn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed || len(d.spare[address]) >= maxSpareConns {
		return false
	}
	if d.spare == nil {
		d.spare = make(map[string][]spareConn)
	}
	d.spare[address] = append(d.spare[address], spareConn{Conn: conn, expiresAt: time.Now().Add(maxIdleTime)})
	return true
}

func dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := socket.Dial(ctx, &dialer, "tcp", address)
	if err != nil {
		return nil, &DialError{Address: address, Err: err}
	}
	return conn, nil
}

// A Response is a target's response whose header has been read.
type Response struct {
	Status int
	Header *fasthttp.ResponseHeader
	// Length is the length of the body in bytes, or -1 if it is not stated.
	Length int

	conn      net.Conn
	taken     socket.TakenError
	writer    socket.MessageWriter // of the request
	reader    *bufio.Reader
	body      io.Reader
	chunked   bool
	remaining int64
	complete  bool
	readErr   error // the first one; a socket reports its error once, and then an end
}

// Send writes a request and reads the header of its response. A response may come before the target has
// read the whole request. The result sent reports whether any byte may have reached the target. The
// connection belongs to the response; on an error it is closed.
func Send(conn net.Conn, request *fasthttp.Request, deadline time.Time) (response *Response, sent bool, err error) {
	if err := conn.SetDeadline(deadline); err != nil {
		return nil, false, closeAndReturn(conn, err)
	}
	response = &Response{conn: conn, Header: &fasthttp.ResponseHeader{}}
	response.writer = socket.MessageWriter{Conn: conn, Taken: &response.taken}
	if err := writeRequest(&response.writer, request); err != nil {
		return nil, false, closeAndReturn(conn, fmt.Errorf("send the request: %w", err))
	}
	response.reader = acquireReader(conn)
	if err := response.readHeader(request.Header.IsHead()); err != nil {
		response.Close()
		<-response.writer.Done()
		if written, writeErr := response.writer.Result(); written == 0 && writeErr != nil {
			return nil, false, fmt.Errorf("send the request: %w", writeErr)
		}
		return nil, true, fmt.Errorf("read the response: %w", err)
	}
	return response, true, nil
}

var (
	readerPool sync.Pool
	bufferPool = sync.Pool{New: func() any { return bufio.NewWriter(nil) }}
)

func acquireReader(conn net.Conn) *bufio.Reader {
	deadlineReader := &socket.DeadlineReader{Conn: conn, MaxLate: socket.MaxLateResponse}
	reader, ok := readerPool.Get().(*bufio.Reader)
	if !ok {
		return bufio.NewReaderSize(deadlineReader, readBufferSize)
	}
	reader.Reset(deadlineReader)
	return reader
}

// writeRequest writes a request as far as it fits into the send buffer, and the rest in the background. It
// returns an error only if nothing was written.
func writeRequest(writer *socket.MessageWriter, request *fasthttp.Request) error {
	buffer, ok := bufferPool.Get().(*bufio.Writer)
	if !ok {
		buffer = bufio.NewWriter(nil)
	}
	buffer.Reset(writer)
	err := request.Write(buffer)
	if err == nil {
		err = buffer.Flush()
	}
	buffer.Reset(nil)
	bufferPool.Put(buffer)
	writer.Finish(nil)
	if written, _ := writer.Result(); written > 0 {
		return nil // the target may have answered
	}
	return err
}

func closeAndReturn(conn net.Conn, err error) error {
	_ = conn.Close() // the first error is the one to report
	return err
}

func (r *Response) readHeader(isHead bool) error {
	const firstFinalStatus = 200
	for {
		if err := r.Header.Read(r.reader); err != nil {
			return err
		}
		r.Status = r.Header.StatusCode()
		if r.Status >= firstFinalStatus {
			break
		}
		r.Header.Reset()
	}
	r.initBody(isHead)
	return nil
}

// initBody sets up the reading of the body by the way in which the response states its end.
func (r *Response) initBody(isHead bool) {
	const chunkedLength, noContent, notModified = -1, 204, 304
	length := r.Header.ContentLength()
	switch {
	case isHead || r.Status == noContent || r.Status == notModified:
		r.Length, r.complete = max(length, 0), true
	case length >= 0:
		r.Length, r.remaining = length, int64(length)
		r.body = io.LimitReader(r.reader, r.remaining)
		r.complete = length == 0
	case length == chunkedLength:
		r.Length, r.chunked = -1, true
		r.body = httputil.NewChunkedReader(r.reader)
	default:
		r.Length = -1
		r.body = r.reader
	}
}

// Read reads the body. It returns io.EOF only if the body is complete. One that ends with its
// connection is complete if the target has ended it in order: TCP tells a reset from that, but may tell
// the write of the request alone.
func (r *Response) Read(p []byte) (int, error) {
	switch {
	case r.complete:
		return 0, io.EOF
	case r.readErr != nil:
		return 0, r.readErr
	case r.reader == nil:
		return 0, net.ErrClosed
	}
	n, err := r.readBody(p)
	r.readErr = err
	return n, err
}

func (r *Response) readBody(p []byte) (int, error) {
	n, err := r.body.Read(p)
	isEnd := errors.Is(err, io.EOF)
	switch {
	case r.Length >= 0:
		r.remaining -= int64(n)
		if isEnd && r.remaining > 0 {
			return n, ErrTruncated
		}
		r.complete = r.remaining == 0
	case isEnd && !r.chunked:
		if endErr := r.writer.CheckEnd(); endErr != nil {
			return n, endErr
		}
		r.complete = true
	case isEnd:
		r.complete = true
	}
	return n, err
}

// Framing returns how the response states where its body ends.
func (r *Response) Framing() fleet.Framing {
	switch {
	case r.chunked:
		return fleet.FramingChunked
	case r.Length >= 0:
		return fleet.FramingLength
	default:
		return fleet.FramingClose
	}
}

// Complete reports whether the body was read to its end.
func (r *Response) Complete() bool {
	return r.complete
}

// Close closes the connection, which aborts a request that still runs.
func (r *Response) Close() {
	_ = r.conn.Close() // nothing more is read or written
	if r.reader != nil {
		r.reader.Reset(nil)
		readerPool.Put(r.reader)
		r.reader = nil
	}
}
