package rpc

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// writeTimeout is how long a peer may take no byte while a write waits for it.
const writeTimeout = 5 * time.Second

// countedConn counts bytes and bounds how long a write may block on a peer that does not read.
type countedConn struct {
	net.Conn
	counter *Counter
	socket  syscall.RawConn // nil if the connection is not a socket
}

func newCountedConn(conn net.Conn, counter *Counter) *countedConn {
	counted := &countedConn{Conn: conn, counter: counter}
	if syscallConn, ok := conn.(syscall.Conn); ok {
		if socket, err := syscallConn.SyscallConn(); err == nil {
			counted.socket = socket
		}
	}
	return counted
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
func (c *countedConn) write(b []byte) (int, error) {
	written, err := c.writeAvailable(b)
	for err == nil && written < len(b) {
		if err = c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			break
		}
		var n int
		n, err = c.Conn.Write(b[written:])
		written += n
		if errors.Is(err, os.ErrDeadlineExceeded) {
			n, tryErr := c.writeAvailable(b[written:])
			written += n
			if tryErr != nil || n > 0 {
				err = tryErr
			}
		}
	}
	return written, err
}

// writeAvailable writes as much as the socket takes without waiting, regardless of the write
// deadline.
func (c *countedConn) writeAvailable(b []byte) (written int, err error) {
	if c.socket == nil {
		return 0, nil
	}
	var writeErr error
	err = c.socket.Control(func(fd uintptr) {
		for written < len(b) && writeErr == nil {
			var n int
			n, writeErr = unix.SendmsgN(int(fd), b[written:], nil, nil, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL)
			written += max(n, 0)
			if errors.Is(writeErr, unix.EINTR) {
				writeErr = nil
			}
		}
	})
	switch {
	case err != nil:
		return written, err
	case errors.Is(writeErr, unix.EAGAIN):
		return written, nil
	case writeErr != nil:
		return written, os.NewSyscallError("sendmsg", writeErr)
	}
	return written, nil
}
