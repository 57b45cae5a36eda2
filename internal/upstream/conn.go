// Package upstream sends requests to targets over pooled keep-alive connections.
//
// A connection is reused only at a clean message boundary: the previous response was complete, of
// stated length, had the ID of its request, did not announce a close, and nothing followed it.
// Otherwise a late or duplicated response to one request could reach the caller of the next. No
// connection carries two sends of one request.
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

	"laburnumfall/internal/socket"
)

const (
	// DialTimeout limits how long a connection may take to open. Within a region this takes some
	// milliseconds; a VM without power never answers.
	DialTimeout    = 500 * time.Millisecond
	readBufferSize = 8 << 10
	// defaultIdleTimeout is how long an unused connection is kept if the target states no idle
	// timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from the idle timeout that a target states, so that a
	// request does not cross the target's close.
	idleTimeoutMargin = 700 * time.Millisecond
	// maxInlineBody is how much of a body, in bytes, is copied behind the header, so that both go out
	// in one write.
	maxInlineBody = 4 << 10
	// bodyWriteGrace is how long writing the rest of a request body may take after its response
	// has ended.
	bodyWriteGrace = 100 * time.Millisecond
	// maxHeaderBytes limits the header of a response, including the interim responses before it.
	maxHeaderBytes = 64 << 10
	// maxIdleTimeout limits the idle timeout that a target states.
	maxIdleTimeout = time.Hour
	// tcpUserTimeout closes a connection whose sent bytes are not acknowledged. A target that was
	// cut off from the network gives no other sign.
	tcpUserTimeout = 3 * time.Second
)

// A DialError reports that no connection was opened, so nothing was sent.
type DialError struct {
	Address string
	Err     error
}

// Error returns the address and the cause.
func (e *DialError) Error() string {
	return fmt.Sprintf("dial %s (nothing was sent, so another target may be tried): %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *DialError) Unwrap() error {
	return e.Err
}

// A NotSentError reports that no byte of a request was sent over an open connection: the deadline had
// passed, or the target had closed the connection.
type NotSentError struct {
	Err error
}

// Error returns the cause and the remedy.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("send the request (nothing was sent, so another target may be tried): %v", e.Err)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error {
	return e.Err
}

// errHeaderTooLong reports a response header of more than maxHeaderBytes.
var errHeaderTooLong = errors.New("the response header exceeds the limit of 64 KiB (check the target)")

// A ResponseIDError reports a response whose ID is not the ID of the request.
type ResponseIDError struct {
	Want, Got string
}

// Error returns both IDs.
func (e *ResponseIDError) Error() string {
	return fmt.Sprintf("the response is for request %q instead of %q (the response is dropped and the connection closed)", e.Got, e.Want)
}

// A Conn is a connection to one incarnation of a target.
type Conn struct {
	net.Conn

	reader         *bufio.Reader
	limiter        *limitedReader // source of reader
	deadlineReader *socket.DeadlineReader
	taken          socket.TakenError
	reused         bool
	lastID         string    // of the request that was sent over it last
	expiresAt      time.Time // not reused from then on
}

// Reused reports whether the connection has carried a request before.
func (c *Conn) Reused() bool {
	return c.reused
}

// LocalPort returns the port of this end, which tells the connections to a target apart, or 0.
func (c *Conn) LocalPort() int {
	if address, ok := c.LocalAddr().(*net.TCPAddr); ok {
		return address.Port
	}
	return 0
}

// SocketIdle reports whether the connection is open and its socket has no unread bytes.
func (c *Conn) SocketIdle() bool {
	return c.taken.IsIdle(c.Conn)
}

// isIdle reports whether the connection is open and neither its buffer nor its socket has unread
// bytes. Bytes on a connection without a request belong to no request.
func (c *Conn) isIdle() bool {
	return c.reader.Buffered() == 0 && c.SocketIdle()
}

func dial(ctx context.Context, address string) (*Conn, error) {
	dialer := net.Dialer{Timeout: DialTimeout, KeepAlive: -1, Control: setTCPUserTimeout}
	conn, err := socket.Dial(ctx, &dialer, "tcp4", address)
	if err != nil {
		return nil, &DialError{Address: address, Err: err}
	}
	return newConn(conn), nil
}

func newConn(conn net.Conn) *Conn {
	deadlineReader := &socket.DeadlineReader{Conn: conn, MaxLate: socket.MaxLateResponse}
	limiter := &limitedReader{source: deadlineReader, remaining: math.MaxInt64}
	return &Conn{Conn: conn, reader: bufio.NewReaderSize(limiter, readBufferSize), limiter: limiter, deadlineReader: deadlineReader}
}

// A limitedReader limits how many bytes are read until the limit is set again. The HTTP library
// reads a response header of any length, so an endless one would take all memory.
type limitedReader struct {
	source    io.Reader
	remaining int64
}

// Read implements io.Reader.
func (r *limitedReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, errHeaderTooLong
	}
	n, err := r.source.Read(p[:min(int64(len(p)), r.remaining)])
	r.remaining -= int64(n)
	return n, err
}

func setTCPUserTimeout(_, _ string, rawConn syscall.RawConn) error {
	var optErr error
	err := rawConn.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}

// idleExpiry returns until when a connection may be reused after a response with this header.
func idleExpiry(now time.Time, header http.Header) time.Time {
	for _, directive := range strings.Split(header.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(directive), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err == nil && seconds >= 0 {
			return now.Add(time.Duration(min(seconds, int(maxIdleTimeout.Seconds())))*time.Second - idleTimeoutMargin)
		}
	}
	return now.Add(defaultIdleTimeout)
}
