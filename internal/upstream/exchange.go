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
)

// A Request is one attempt at a target to answer a caller's request.
type Request struct {
	Method string
	// Path is the path and query as the caller wrote them.
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// ID is the request's ID, which the answer must bear under IDHeader. Where
	// that is "", answers bear none, and the connection is not used again.
	ID       string
	IDHeader string
}

// A Response is a target's answer whose head has been read.
type Response struct {
	Status int
	Header http.Header
	// Length is the body's length, or -1 if only its end will tell.
	Length int64

	pool    *Pool
	target  fleet.Incarnation
	conn    *Conn
	resp    *http.Response
	written chan error
	whole   bool
	stop    func() bool
	once    sync.Once
}

// Send writes a request and reads the head of its answer. Until bounds the whole
// exchange, and the end of ctx breaks it off. Unless the error is a DialError,
// the target may have run the request.
func (p *Pool) Send(ctx context.Context, target fleet.Incarnation, c *Conn, r Request, until time.Time) (*Response, error) {
	a := &Response{pool: p, target: target, conn: c, written: make(chan error, 1)}
	a.stop = context.AfterFunc(ctx, func() { _ = c.Close() }) // the reader sees it
	if err := a.exchange(r, until); err != nil {
		a.Close()
		if ctx.Err() != nil {
			return nil, fmt.Errorf("the caller left: %w", ctx.Err())
		}
		return nil, err
	}
	return a, nil
}

func (a *Response) exchange(r Request, until time.Time) error {
	// The socket's deadline runs on the runtime's clock, not on the fleet's.
	left := until.Sub(a.pool.Clock.Now())
	if err := a.conn.SetDeadline(time.Now().Add(left)); err != nil {
		return fmt.Errorf("set the deadline: %w", err)
	}
	if err := a.write(r); err != nil {
		return fmt.Errorf("send the request: %w", err)
	}
	return a.readHead(r)
}

func (a *Response) write(r Request) error {
	var b bytes.Buffer
	b.Grow(1024 + min(len(r.Body), inlineBody))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Path, r.Host)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	if err := r.Header.Write(&b); err != nil {
		return err
	}
	b.WriteString("\r\n")
	if len(r.Body) <= inlineBody {
		b.Write(r.Body)
		_, err := a.conn.Write(b.Bytes())
		a.written <- nil
		return err
	}
	go func() {
		_, err := a.conn.Write(append(b.Bytes(), r.Body...))
		a.written <- err
	}()
	return nil
}

// readHead reads heads until one answers this request. A whole foreign answer
// before it is skipped: it was late, and the one that is waited for comes next
// on the same connection.
func (a *Response) readHead(r Request) error {
	const firstFinal = 200
	foreign := false
	a.conn.bound.left = maxHead
	for {
		resp, err := http.ReadResponse(a.conn.reader, &http.Request{Method: r.Method})
		if err != nil && a.conn.bound.left <= 0 {
			err = errLongHead // and not what the cut made of it
		}
		if err != nil {
			return fmt.Errorf("read the answer: %w", err)
		}
		if resp.StatusCode < firstFinal {
			continue
		}
		got := r.ID
		if r.IDHeader != "" {
			got = resp.Header.Get(r.IDHeader)
		}
		if got != r.ID && got != "" && a.conn.reused && !foreign && framed(resp) {
			foreign = true
			a.conn.bound.left = math.MaxInt64
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				return fmt.Errorf("skip the answer of another request: %w", err)
			}
			a.conn.bound.left = maxHead
			continue
		}
		if got != r.ID {
			return &ResponseIDError{Want: r.ID, Got: got}
		}
		a.conn.bound.left = math.MaxInt64
		a.resp = resp
		a.Status, a.Header, a.Length = resp.StatusCode, resp.Header, resp.ContentLength
		a.resp.Close = a.resp.Close || foreign || r.IDHeader == ""
		return nil
	}
}

// framed reports whether the end of an answer's body is told by the answer.
func framed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// Read reads the body. It returns io.EOF only if the body is whole.
func (a *Response) Read(b []byte) (int, error) {
	n, err := a.resp.Body.Read(b)
	if errors.Is(err, io.EOF) {
		a.whole = true
	}
	return n, err
}

// Complete reports whether the body was read to its end.
func (a *Response) Complete() bool {
	return a.whole
}

// Close keeps the connection if it stands at a clean boundary, and otherwise
// ends it, and with it the request if it still runs.
func (a *Response) Close() {
	a.once.Do(a.close)
}

func (a *Response) close() {
	live := a.stop()
	if live && a.whole && a.clean() {
		a.pool.put(a.target, a.conn, idleUntil(a.pool.Clock.Now(), a.Header))
		return
	}
	_ = a.conn.Close() // nothing more is read or written
}

func (a *Response) clean() bool {
	if a.resp.Close || !framed(a.resp) || a.conn.reader.Buffered() > 0 || a.conn.late.DeadlineExceeded() {
		return false
	}
	select {
	case err := <-a.written:
		return err == nil
	default:
	}
	// Until the rest of the body is out, the target would read it as the next
	// request.
	timer := time.NewTimer(bodyGrace)
	defer timer.Stop()
	select {
	case err := <-a.written:
		return err == nil
	case <-timer.C:
		return false
	}
}
