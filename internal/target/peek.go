package target

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// peek looks at what a connection would read, without reading it.
func peek(c net.Conn) (n int, err error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0, unix.EAGAIN
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	var buf [1]byte
	var peekErr error
	ctlErr := raw.Control(func(fd uintptr) {
		n, _, peekErr = unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if ctlErr != nil {
		return 0, ctlErr
	}
	return n, peekErr
}

// IsIdle reports whether a connection is open and has nothing to read. Bytes on
// a connection that has sent nothing can answer no request.
func IsIdle(c net.Conn) bool {
	_, err := peek(c)
	return errors.Is(err, unix.EAGAIN)
}

// PeerClosed reports whether the other end has closed its side. The HTTP library
// does not tell a handler that its caller went away, so it is looked up here.
func PeerClosed(c net.Conn) bool {
	n, err := peek(c)
	if errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR) {
		return false
	}
	return err != nil || n == 0
}
