// Package target carries one request to one target and its answer back.
//
// A connection carries one request and is then closed. A late, doubled or
// crossed answer therefore reaches nobody: there is no later request on the
// connection that it could be taken for. Connections are opened ahead, so that
// this costs no round trip.
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
)

const (
	dialTimeout = 2 * time.Second
	// idleLimit is how long an unused connection is kept: servers close idle
	// ones, and a request sent into a closing one has an unknown fate.
	idleLimit = 2 * time.Second
	// maxSpare bounds the unused connections to one target.
	maxSpare   = 4
	readBuffer = 16 << 10
	// MaxResponseWait bounds the time to the first byte, and between bytes, of an
	// answer to a request without a deadline.
	MaxResponseWait = 10 * time.Minute
)

// A DialError says that no connection was made, so no byte was sent.
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

// ErrTruncated says that an answer ended before its stated length.
var ErrTruncated = errors.New("the answer ended before its stated length")

// A Dialer opens connections to targets, some ahead of their use.
type Dialer struct {
	mu     sync.Mutex
	spare  map[string][]spareConn
	closed bool
}

type spareConn struct {
	net.Conn
	until time.Time
}

// Conn returns a connection that has carried nothing yet.
func (d *Dialer) Conn(ctx context.Context, address string) (net.Conn, error) {
	for {
		c, ok := d.takeSpare(address)
		if !ok {
			break
		}
		if time.Now().Before(c.until) && IsIdle(c.Conn) {
			go d.openAhead(address)
			return c.Conn, nil
		}
		_ = c.Close() // unused, so nothing is lost
	}
	c, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	go d.openAhead(address)
	return c, nil
}

// Close closes the unused connections.
func (d *Dialer) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, list := range d.spare {
		for _, c := range list {
			_ = c.Close() // unused, so nothing is lost
		}
	}
	d.spare = nil
	d.closed = true
}

// Prune closes the connections that were unused for too long.
func (d *Dialer) Prune(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for address, list := range d.spare {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.until) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close() // unused, so nothing is lost
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
	list := d.spare[address]
	if len(list) == 0 {
		return spareConn{}, false
	}
	c := list[len(list)-1]
	d.spare[address] = list[:len(list)-1]
	return c, true
}

// openAhead opens a connection for the next request to the address.
func (d *Dialer) openAhead(address string) {
	if !d.wantsSpare(address) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	c, err := dial(ctx, address)
	if err != nil {
		return // the next request meets and reports it
	}
	if !d.keep(address, c) {
		_ = c.Close() // unused, so nothing is lost
	}
}

func (d *Dialer) wantsSpare(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.closed && len(d.spare[address]) < maxSpare
}

// keep takes a spare connection in, unless others did so while it was opened.
func (d *Dialer) keep(address string, c net.Conn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed || len(d.spare[address]) >= maxSpare {
		return false
	}
	if d.spare == nil {
		d.spare = make(map[string][]spareConn)
	}
	d.spare[address] = append(d.spare[address], spareConn{Conn: c, until: time.Now().Add(idleLimit)})
	return true
}

func dial(ctx context.Context, address string) (net.Conn, error) {
	nd := net.Dialer{Timeout: dialTimeout}
	c, err := nd.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &DialError{Address: address, Err: err}
	}
	return c, nil
}

// A Response is a target's answer whose head has been read.
type Response struct {
	Status int
	Header *fasthttp.ResponseHeader
	// Length is the body's length, or -1 if only its end will tell.
	Length int

	conn   net.Conn
	reader *bufio.Reader
	body   io.Reader
	chunks bool
	left   int64
	done   bool
}

// Send writes a request and reads the head of its answer. Sent reports
// whether any byte may have reached the target. The connection belongs to the
// answer; on an error it is closed.
func Send(c net.Conn, req *fasthttp.Request, until time.Time) (a *Response, sent bool, err error) {
	if err := c.SetDeadline(until); err != nil {
		return nil, false, closeWith(c, err)
	}
	if err := write(c, req); err != nil {
		return nil, true, closeWith(c, fmt.Errorf("send the request: %w", err))
	}
	a = &Response{conn: c, reader: takeReader(c), Header: &fasthttp.ResponseHeader{}}
	if err := a.readHead(req.Header.IsHead()); err != nil {
		a.Close()
		return nil, true, fmt.Errorf("read the answer: %w", err)
	}
	return a, true, nil
}

var (
	readers sync.Pool
	writers sync.Pool
)

func takeReader(c net.Conn) *bufio.Reader {
	late := &DeadlineReader{Conn: c}
	r, ok := readers.Get().(*bufio.Reader)
	if !ok {
		return bufio.NewReaderSize(late, readBuffer)
	}
	r.Reset(late)
	return r
}

func write(c net.Conn, req *fasthttp.Request) error {
	w, ok := writers.Get().(*bufio.Writer)
	if !ok {
		w = bufio.NewWriter(c)
	}
	w.Reset(c)
	err := req.Write(w)
	if err == nil {
		err = w.Flush()
	}
	w.Reset(nil)
	writers.Put(w)
	return err
}

func closeWith(c net.Conn, err error) error {
	_ = c.Close() // the error before tells more
	return err
}

func (a *Response) readHead(head bool) error {
	const firstFinal = 200
	for {
		if err := a.Header.Read(a.reader); err != nil {
			return err
		}
		a.Status = a.Header.StatusCode()
		if a.Status >= firstFinal {
			break
		}
		a.Header.Reset()
	}
	a.frame(head)
	return nil
}

// frame finds out how the end of the body is told.
func (a *Response) frame(head bool) {
	const chunked, noContent, notModified = -1, 204, 304
	length := a.Header.ContentLength()
	switch {
	case head || a.Status == noContent || a.Status == notModified:
		a.Length, a.done = max(length, 0), true
	case length >= 0:
		a.Length, a.left = length, int64(length)
		a.body = io.LimitReader(a.reader, a.left)
		a.done = length == 0
	case length == chunked:
		a.Length, a.chunks = -1, true
		a.body = httputil.NewChunkedReader(a.reader)
	default:
		a.Length = -1
		a.body = a.reader
	}
}

// Read reads the body. It returns io.EOF only if the body is whole.
func (a *Response) Read(b []byte) (int, error) {
	if a.done {
		return 0, io.EOF
	}
	if a.reader == nil {
		return 0, net.ErrClosed
	}
	n, err := a.body.Read(b)
	if a.Length >= 0 {
		a.left -= int64(n)
		if errors.Is(err, io.EOF) && a.left > 0 {
			return n, ErrTruncated
		}
		a.done = a.left == 0
		return n, err
	}
	if errors.Is(err, io.EOF) {
		a.done = true
	}
	return n, err
}

// Complete reports whether the body was read to its end.
func (a *Response) Complete() bool {
	return a.done
}

// Close ends the connection, and with it the request if it still runs.
func (a *Response) Close() {
	_ = a.conn.Close() // nothing more is read or written
	if a.reader != nil {
		a.reader.Reset(nil)
		readers.Put(a.reader)
		a.reader = nil
	}
}
