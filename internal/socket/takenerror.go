package socket

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// A TakenError keeps the error that a write or a look at a socket has taken from it. The kernel reports
// that a connection has failed once, to the first system call that asks; a read after that returns
// io.EOF, as if the peer had ended its stream in order.
type TakenError struct {
	mu  sync.Mutex // held during the system calls, so that an error is kept before a read can miss it
	err error
}

// Err returns the first error that was taken from the socket, or nil.
func (t *TakenError) Err() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.err
}

// IsIdle is like the function IsIdle and keeps the error that it takes.
func (t *TakenError) IsIdle(conn net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, err := peek(conn)
	if errors.Is(err, ErrWouldBlock) {
		return true
	}
	t.keep(err)
	return false
}

// take takes the pending error of a socket, if there is one, and keeps it.
func (t *TakenError) take(conn net.Conn) {
	rawConn, err := rawConnOf(conn)
	if err != nil {
		return // not a socket
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	// The control function fails only if the connection has been closed here.
	_ = rawConn.Control(func(fd uintptr) {
		if errno, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR); err == nil && errno != 0 {
			t.keep(os.NewSyscallError("getsockopt", syscall.Errno(errno)))
		}
	})
}

// keep keeps an error. t.mu must be held.
func (t *TakenError) keep(err error) {
	if t.err == nil {
		t.err = err
	}
}
