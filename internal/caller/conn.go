// Package caller holds the connections of callers: it accepts them, bounds their number, reads and
// writes them, sheds those that arrive faster than the router can read their requests, and closes
// them when the router stops.
package caller

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// writeGrace is how long after its deadline a request's response may still be written.
const writeGrace = time.Second

// A Conn is a caller's connection. It tracks whether a part of a request has been read, which
// net/http reports only after it has read the complete header.
type Conn struct {
	*net.TCPConn

	requestStarted atomic.Bool
}

// Read implements net.Conn.
func (c *Conn) Read(buffer []byte) (int, error) {
	n, err := c.TCPConn.Read(buffer)
	if n > 0 {
		c.requestStarted.Store(true)
	}
	return n, err
}

// Write implements net.Conn. After the write deadline it still has writeGrace: the deadline may have
// passed while the process was suspended, and then the response is ready and the caller may be reading.
// The connection checks its deadline before it tries to write, so the caller of Write cannot rule
// that out.
func (c *Conn) Write(data []byte) (int, error) {
	written, err := c.TCPConn.Write(data)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return written, err
	}
	if err := c.SetWriteDeadline(time.Now().Add(writeGrace)); err != nil {
		return written, err
	}
	rest, err := c.TCPConn.Write(data[written:])
	return written + rest, err
}

func trackReads(conn net.Conn) net.Conn {
	if tcpConn, ok := conn.(*net.TCPConn); ok {
		return &Conn{TCPConn: tcpConn}
	}
	return conn
}

func requestStarted(conn net.Conn) bool {
	tracked, ok := conn.(*Conn)
	return ok && tracked.requestStarted.Load()
}

// clearRequestStarted records that the request on a connection has been answered.
func clearRequestStarted(conn net.Conn) {
	if tracked, ok := conn.(*Conn); ok {
		tracked.requestStarted.Store(false)
	}
}
