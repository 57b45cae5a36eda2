// Package upstream carries requests to targets over kept connections.
//
// A connection is used again only at a clean boundary: the answer before was
// whole, of stated length, bore the ID of its request, did not announce a
// close, and nothing came after it. Otherwise a late or doubled answer of one
// request could reach the caller of the next.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"laburnumfall/internal/target"
)

const (
	// dialTimeout bounds the opening of a connection. Within a region that takes
	// some milliseconds; a VM without power never answers.
	dialTimeout = 500 * time.Millisecond
	readBuffer  = 8 << 10
	// idleLimit is how long an unused connection is kept where the target
	// states no time of its own.
	idleLimit = 4 * time.Second
	// idleMargin is kept from the idle time that a target states: a request
	// must not cross the target's close.
	idleMargin = 700 * time.Millisecond
	// inlineBody is the size up to which a body is written before the answer is
	// read. A larger one may fill the link's window, and a target that answers
	// before it has read all of it would wait for this end to read.
	inlineBody = 4 << 10
	// bodyGrace is how long the rest of a body may take after its answer has
	// ended.
	bodyGrace = 100 * time.Millisecond
	// maxHead bounds the head of an answer, what comes before it included, in bytes.
	maxHead = 64 << 10
	// longestIdle bounds the idle time that a target states.
	longestIdle = time.Hour
	// userTimeout ends a connection whose bytes nobody acknowledges: a target
	// that was cut off shows nothing else.
	userTimeout = 3 * time.Second
)

// A DialError says that no connection was made, so that nothing was sent.
type DialError struct {
	Address string
	Err     error
}

// Error returns the address and the cause.
func (e *DialError) Error() string {
	return fmt.Sprintf("dial %s (nothing was sent; another target may be tried): %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *DialError) Unwrap() error {
	return e.Err
}

// errLongHead says that the head of an answer is no head.
var errLongHead = errors.New("the head of the answer is too long")

// A ResponseIDError says that an answer belongs to no request of this connection.
type ResponseIDError struct {
	Want, Got string
}

// Error returns both IDs.
func (e *ResponseIDError) Error() string {
	return fmt.Sprintf("the answer is for request %q, not %q (the connection is closed, the answer dropped)", e.Got, e.Want)
}

// A Conn is a connection to one incarnation of a target.
type Conn struct {
	net.Conn

	reader  *bufio.Reader
	bound   *boundReader // what reader reads from
	late    *target.DeadlineReader
	reused  bool
	expires time.Time // from when on it is not used again
}

// Reused reports whether the connection has carried a request before.
func (c *Conn) Reused() bool {
	return c.reused
}

// SocketIdle reports whether the connection is open and holds no bytes that nobody has read.
func (c *Conn) SocketIdle() bool {
	return target.IsIdle(c.Conn)
}

// quiet reports whether the connection is open and has nothing to read: bytes
// on a connection without a request answer nobody.
func (c *Conn) quiet() bool {
	return c.reader.Buffered() == 0 && c.SocketIdle()
}

func dial(ctx context.Context, address string) (*Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setUserTimeout}
	raw, err := d.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, &DialError{Address: address, Err: err}
	}
	return newConn(raw), nil
}

func newConn(raw net.Conn) *Conn {
	late := &target.DeadlineReader{Conn: raw}
	bound := &boundReader{source: late, left: math.MaxInt64}
	return &Conn{Conn: raw, reader: bufio.NewReaderSize(bound, readBuffer), bound: bound, late: late}
}

// A boundReader bounds what is read until its bound is set anew. The library reads the
// head of an answer however long it is: one without end would take all memory.
type boundReader struct {
	source io.Reader
	left   int64
}

// Read implements io.Reader.
func (b *boundReader) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errLongHead
	}
	n, err := b.source.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	return n, err
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}

// idleUntil returns until when a connection may be used again after an answer.
func idleUntil(now time.Time, h http.Header) time.Time {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err == nil && seconds >= 0 {
			return now.Add(time.Duration(min(seconds, int(longestIdle.Seconds())))*time.Second - idleMargin)
		}
	}
	return now.Add(idleLimit)
}
