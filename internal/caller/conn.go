// Package caller holds the connections of callers: it accepts them, bounds their number, reads and
// writes them, sheds those that arrive faster than the router can read their requests, and closes
// them when the router stops.
//
// A process that is suspended finds many deadlines passed at once when it resumes. Therefore what
// has arrived is read, and what fits is written, before a deadline is honored.
package caller

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"laburnumfall/internal/socket"
)

const (
	// lateWriteTime is how long, after each write deadline, writes may wait in total for a caller
	// that does not read fast enough.
	lateWriteTime = time.Second
	// lateWriteStep is the longest time that a single wait counts. Of a wait during which the
	// process was suspended, only this much is deducted from lateWriteTime.
	lateWriteStep = lateWriteTime / 4
	// lateReadTime is how long, after each read deadline, reads may wait in total for the rest of a
	// request of which a part had arrived when the deadline was noticed.
	lateReadTime = time.Second
)

// tcpConn is the part of *net.TCPConn that a Conn needs. The embedded interface hides ReadFrom and
// WriteTo, which would bypass Read and Write.
type tcpConn interface {
	net.Conn
	syscall.Conn
	CloseWrite() error
	SetLinger(seconds int) error
}

// requestState is the state of the request on a connection.
type requestState = int32

const (
	noRequest      requestState = iota
	requestStarted              // a part of the header has been read
	requestActive               // the header has been read, and no handler has the request
	requestServed               // a handler has the request, and it has no response
)

// A Conn is a connection of a caller.
type Conn struct {
	tcpConn

	reader   socket.DeadlineReader
	openedAt time.Time
	// writeTimeout, if not 0, is how long each Write may take.
	writeTimeout time.Duration
	// headerTimeoutResponse, if set, is sent if a header does not arrive completely in time.
	headerTimeoutResponse []byte
	// lingersUnlessServed says that what is written before a handler has the request is a refusal by
	// the HTTP library, after which Close lingers.
	lingersUnlessServed bool
	onClose             func() // called by Close, if set

	lateWriteTimeLeft time.Duration // of lateWriteTime
	request           atomic.Int32  // a requestState
	interrupted       atomic.Bool   // the read deadline was set to interrupt a Read
	refused           atomic.Bool   // headerTimeoutResponse has been sent
	lingers           atomic.Bool   // set by LingerOnClose
	resets            atomic.Bool   // set by ResetOnClose
}

func newConn(conn tcpConn) *Conn {
	return &Conn{
		tcpConn: conn, reader: socket.DeadlineReader{Conn: conn, MaxLateWait: lateReadTime},
		openedAt: time.Now(), lateWriteTimeLeft: lateWriteTime,
	}
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn. A deadline before the connection was opened interrupts a
// Read, as net/http does at the end of each request. It is no timeout, and what has arrived stays
// in the socket.
func (c *Conn) SetReadDeadline(t time.Time) error {
	interrupts := !t.IsZero() && t.Before(c.openedAt)
	c.interrupted.Store(interrupts)
	if interrupts {
		return c.reader.Interrupt(t)
	}
	return c.reader.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.lateWriteTimeLeft = lateWriteTime
	return c.tcpConn.SetWriteDeadline(t)
}

// Read implements net.Conn. After the read deadline it returns what has arrived. If it finds nothing,
// it fails, after a limited wait if a part has arrived. The size limits of header and body bound how
// much a caller can send after the deadline.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.reader.Read(p)
	if n > 0 {
		c.request.CompareAndSwap(noRequest, requestStarted)
		return n, err
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.refuseIncompleteHeader()
	}
	return n, err
}

// refuseIncompleteHeader answers a request whose header has not arrived completely in time. The
// net/http server would close the connection without a response, or, after a part of a line, call
// the request malformed.
func (c *Conn) refuseIncompleteHeader() {
	if c.headerTimeoutResponse == nil || c.request.Load() != requestStarted || c.interrupted.Load() || c.refused.Swap(true) {
		return
	}
	c.LingerOnClose()
	_, _ = socket.WriteAvailable(c.tcpConn, c.headerTimeoutResponse) // fails only if the caller has left
}

// Write implements net.Conn. After the write deadline it writes what fits into the send buffer, and
// waits for a limited time if the buffer is full. A response that is ready is thus lost only if the
// caller does not read it.
func (c *Conn) Write(p []byte) (int, error) {
	if c.refused.Load() {
		return 0, net.ErrClosed
	}
	if c.lingersUnlessServed && c.request.Load() == requestActive {
		c.LingerOnClose()
	}
	if c.writeTimeout > 0 {
		if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
			return 0, err
		}
	}
	written, err := c.tcpConn.Write(p)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return written, err
	}
	late, err := c.writeLate(p[written:])
	return written + late, err
}

// writeLate writes after the write deadline. It gives up only after an attempt that follows the last
// wait, so that it does not matter when the process is suspended.
func (c *Conn) writeLate(p []byte) (written int, err error) {
	for {
		n, err := socket.WriteAvailable(c.tcpConn, p[written:])
		written += n
		if !errors.Is(err, socket.ErrWouldBlock) {
			return written, err
		}
		if c.lateWriteTimeLeft <= 0 {
			return written, os.ErrDeadlineExceeded
		}
		n, err = c.writeForStep(p[written:])
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
	}
}

// writeForStep writes, and waits for at most a part of the time that is left for late writes.
func (c *Conn) writeForStep(p []byte) (int, error) {
	step := min(lateWriteStep, c.lateWriteTimeLeft)
	startedAt := time.Now()
	if err := c.tcpConn.SetWriteDeadline(startedAt.Add(step)); err != nil {
		return 0, err
	}
	n, err := c.tcpConn.Write(p)
	c.lateWriteTimeLeft -= min(time.Since(startedAt), step)
	return n, err
}

// hasRequest reports whether a part of a request without a response has been read from a
// connection. net/http reports a request only after it has read the complete header.
func hasRequest(conn net.Conn) bool {
	callerConn, ok := conn.(*Conn)
	return ok && callerConn.request.Load() != noRequest
}

func setRequestState(conn net.Conn, state requestState) {
	if callerConn, ok := conn.(*Conn); ok {
		callerConn.request.Store(state)
	}
}
