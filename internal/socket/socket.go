// Package socket provides operations on sockets that do not wait and honour no deadline: whether a
// connection has unread bytes, and reading and writing what is possible at once.
package socket

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// peek returns how many bytes, up to one, are readable on a connection, without consuming them. The
// error is unix.EAGAIN if the connection is open and has no unread bytes.
func peek(conn net.Conn) (n int, err error) {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return 0, unix.EAGAIN
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return 0, err
	}
	var buf [1]byte
	var peekErr error
	ctlErr := rawConn.Control(func(fd uintptr) {
		n, _, peekErr = unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if ctlErr != nil {
		return 0, ctlErr
	}
	return n, peekErr
}

// IsIdle reports whether a connection is open and has no unread bytes. Bytes that arrive before
// anything was sent belong to no request.
func IsIdle(conn net.Conn) bool {
	_, err := peek(conn)
	return errors.Is(err, unix.EAGAIN)
}

// PeerClosed reports whether the peer has closed its side of the connection. The HTTP library
// does not report to a handler that its caller has disconnected, so it is checked on the socket.
func PeerClosed(conn net.Conn) bool {
	n, err := peek(conn)
	if errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR) {
		return false
	}
	return err != nil || n == 0
}
