package socket

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	// maxBuffered limits how many bytes are read from a connection after its deadline.
	maxBuffered   = 1 << 20
	readBlockSize = 16 << 10
)

// A DeadlineReader reads from a connection. After the connection's deadline, it still returns the
// bytes that arrived before the deadline was noticed: after a stall of this process, the rest of
// a response may be unread although its deadline has passed.
type DeadlineReader struct {
	Conn net.Conn

	expired     bool
	buffered    []byte // bytes that had arrived but are not returned yet
	bufferedErr error  // returned after the buffered bytes
}

// DeadlineExceeded reports whether the deadline passed during a Read.
func (r *DeadlineReader) DeadlineExceeded() bool {
	return r.expired
}

// Read implements io.Reader.
func (r *DeadlineReader) Read(p []byte) (int, error) {
	if !r.expired {
		n, err := r.Conn.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		r.expired = true
		r.buffered, r.bufferedErr = readAvailable(r.Conn, err)
	}
	if len(r.buffered) == 0 {
		return 0, r.bufferedErr
	}
	n := copy(p, r.buffered)
	r.buffered = r.buffered[n:]
	return n, nil
}

// readAvailable reads the bytes that have arrived on a connection, without waiting. The error
// finalErr is io.EOF if the peer has closed the connection, and fallbackErr otherwise.
func readAvailable(conn net.Conn, fallbackErr error) (data []byte, finalErr error) {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return nil, fallbackErr
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return nil, fallbackErr
	}
	finalErr = fallbackErr
	ctlErr := rawConn.Control(func(fd uintptr) {
		block := make([]byte, readBlockSize)
		for len(data) < maxBuffered {
			n, _, err := unix.Recvfrom(int(fd), block, unix.MSG_DONTWAIT)
			if errors.Is(err, unix.EINTR) {
				continue
			}
			if err == nil && n == 0 {
				finalErr = io.EOF
			}
			if err != nil || n <= 0 {
				return
			}
			data = append(data, block[:n]...)
		}
	})
	if ctlErr != nil {
		return nil, fallbackErr
	}
	return data, finalErr
}
