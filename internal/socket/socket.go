// Package socket provides operations on sockets that do not wait and honour no deadline: whether a
// connection has unread bytes, and reading and writing what is possible at once.
package socket

import (
	"errors"
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// ErrWouldBlock reports that nothing more can be read or written without waiting.
var ErrWouldBlock = errors.New("the operation on the socket would block")

// rawConnOf returns access to the file descriptor of a connection or listener.
func rawConnOf(conn any) (syscall.RawConn, error) {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return nil, ErrWouldBlock
	}
	return syscallConn.SyscallConn()
}

// peek returns how many bytes, up to one, are readable on a connection, without consuming them. The
// error is ErrWouldBlock if the connection is open and has no unread bytes.
func peek(conn net.Conn) (n int, err error) {
	var buf [1]byte
	return receive(conn, buf[:], unix.MSG_PEEK)
}

func receive(conn net.Conn, p []byte, flags int) (n int, err error) {
	rawConn, err := rawConnOf(conn)
	if err != nil {
		return 0, err
	}
	ctlErr := rawConn.Control(func(fd uintptr) {
		for {
			n, _, err = unix.Recvfrom(int(fd), p, flags|unix.MSG_DONTWAIT)
			if !errors.Is(err, unix.EINTR) {
				return
			}
		}
	})
	switch {
	case ctlErr != nil:
		return 0, ctlErr
	case errors.Is(err, unix.EAGAIN):
		return 0, ErrWouldBlock
	case err != nil:
		return 0, err
	}
	return n, nil
}

// IsIdle reports whether a connection is open and has no unread bytes. Bytes that arrive before
// anything was sent belong to no request.
func IsIdle(conn net.Conn) bool {
	_, err := peek(conn)
	return errors.Is(err, ErrWouldBlock)
}

// PeerClosed reports whether the peer has closed its side of the connection. The HTTP library
// does not report to a handler that its caller has disconnected, so it is checked on the socket.
func PeerClosed(conn net.Conn) bool {
	n, err := peek(conn)
	if errors.Is(err, ErrWouldBlock) {
		return false
	}
	return err != nil || n == 0
}

// ReadAvailable reads what has arrived on a connection. The error is ErrWouldBlock if nothing has
// arrived, and io.EOF if the peer has closed the connection.
func ReadAvailable(conn net.Conn, p []byte) (int, error) {
	n, err := receive(conn, p, 0)
	if err == nil && n == 0 && len(p) > 0 {
		return 0, io.EOF
	}
	return n, err
}

// WriteAvailable writes as much as fits into the send buffer of a connection. The error is
// ErrWouldBlock if not everything fits.
func WriteAvailable(conn net.Conn, p []byte) (written int, err error) {
	rawConn, err := rawConnOf(conn)
	if err != nil {
		return 0, err
	}
	ctlErr := rawConn.Control(func(fd uintptr) {
		for written < len(p) {
			var n int
			n, err = unix.SendmsgN(int(fd), p[written:], nil, nil, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL)
			if errors.Is(err, unix.EINTR) {
				continue
			}
			if err != nil {
				return
			}
			written += n
		}
	})
	switch {
	case ctlErr != nil:
		return written, ctlErr
	case errors.Is(err, unix.EAGAIN):
		return written, ErrWouldBlock
	}
	return written, err
}

// HasPendingConn reports whether the accept queue of a listener has a connection.
func HasPendingConn(listener net.Listener) bool {
	rawConn, err := rawConnOf(listener)
	if err != nil {
		return false // the listener is being closed
	}
	readyCount := 0
	ctlErr := rawConn.Control(func(fd uintptr) {
		readyCount, err = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return ctlErr == nil && err == nil && readyCount > 0
}
