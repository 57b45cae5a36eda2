package rpc

import (
	"errors"
	"net"
	"os"
	"time"

	"laburnumfall/internal/socket"
)

// writeTimeout is how long a peer may take no byte while a write waits for it.
const writeTimeout = 5 * time.Second

// countedConn counts bytes and bounds how long a write may block on a peer that does not read.
type countedConn struct {
	net.Conn
	counter *Counter
}

// Read implements io.Reader.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.Received.Add(int64(n))
	return n, err
}

// Write implements io.Writer. If it fails, it closes the connection: nothing that follows a broken
// message could be read.
func (c *countedConn) Write(b []byte) (int, error) {
	written, err := c.write(b)
	c.counter.Sent.Add(int64(written))
	if err != nil {
		_ = c.Close() // the first error is the one to report
	}
	return written, err
}

// write fails only if the peer has taken no byte when the deadline is noticed: after a stall of this
// process, the deadline has passed although the socket may have room.
func (c *countedConn) write(b []byte) (written int, err error) {
	for {
		n, err := socket.WriteAvailable(c.Conn, b[written:])
		written += n
		if !errors.Is(err, socket.ErrWouldBlock) {
			return written, err
		}
		if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return written, err
		}
		n, err = c.Conn.Write(b[written:])
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		n, lateErr := socket.WriteAvailable(c.Conn, b[written:])
		written += n
		if !errors.Is(lateErr, socket.ErrWouldBlock) {
			return written, lateErr
		}
		if n == 0 {
			return written, err
		}
	}
}
