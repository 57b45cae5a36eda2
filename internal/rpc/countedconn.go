package rpc

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// writeTimeout is how long a peer may take no byte while a write waits for it.
const writeTimeout = 5 * time.Second

// countedConn counts bytes and bounds how long a write may block on a peer that does not read. It
// tells when everything that has arrived has been read.
type countedConn struct {
	net.Conn
	counter *Counter
	socket  syscall.RawConn // nil if the connection is not a socket

	mu      sync.Mutex      // held while bytes are taken from the socket
	waiting bool            // Read waits for bytes
	drained []chan struct{} // closed when Read finds the socket empty
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

// Read implements io.Reader. A reader that calls it again has handled the bytes from before.
func (c *countedConn) Read(b []byte) (int, error) {
	for len(b) > 0 && c.socket != nil {
		n, err := c.readAvailable(b)
		if n > 0 || err != nil {
			c.counter.Received.Add(int64(n))
			return n, err
		}
		err = c.socket.Read(func(fd uintptr) bool { return !isEmpty(fd) }) // waits
		c.mu.Lock()
		c.waiting = false
		c.mu.Unlock()
		if err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(b)
	c.counter.Received.Add(int64(n))
	return n, err
}

// readAvailable reads what has arrived, without waiting. If that is nothing, it returns 0 and no error.
func (c *countedConn) readAvailable(b []byte) (n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var readErr error
	err = c.socket.Control(func(fd uintptr) {
		for {
			n, _, readErr = unix.Recvfrom(int(fd), b, unix.MSG_DONTWAIT)
			if !errors.Is(readErr, unix.EINTR) {
				return
			}
		}
	})
	switch {
	case err != nil:
		return 0, err
	case errors.Is(readErr, unix.EAGAIN):
		c.waiting = true
		for _, drained := range c.drained {
			close(drained)
		}
		c.drained = nil
		return 0, nil
	case readErr != nil:
		return 0, os.NewSyscallError("recvfrom", readErr)
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// Drained returns a channel that is closed once the reader has handled all bytes that have arrived.
func (c *countedConn) Drained() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	drained := make(chan struct{})
	if c.socket == nil || c.waiting && c.isSocketEmpty() {
		close(drained)
		return drained
	}
	c.drained = append(c.drained, drained)
	return drained
}

func (c *countedConn) isSocketEmpty() bool {
	empty := false
	err := c.socket.Control(func(fd uintptr) { empty = isEmpty(fd) })
	return err == nil && empty
}

// isEmpty reports whether a socket is open and has no unread bytes.
func isEmpty(fd uintptr) bool {
	var b [1]byte
	_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR)
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
