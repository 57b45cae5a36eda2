package target

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	// maxReady bounds what is taken of a connection behind its deadline, in bytes.
	maxReady   = 1 << 20
	readyBlock = 16 << 10
)

// A DeadlineReader reads from a connection. When the connection's deadline passes, it still
// returns what had arrived by then: after a standstill of this process the rest of an
// answer may lie unread while its deadline is over.
type DeadlineReader struct {
	Conn net.Conn

	late  bool
	ready []byte // what had arrived, not yet returned
	end   error  // what follows it
}

// DeadlineExceeded reports whether the deadline has passed while somebody read.
func (r *DeadlineReader) DeadlineExceeded() bool {
	return r.late
}

// Read implements io.Reader.
func (r *DeadlineReader) Read(p []byte) (int, error) {
	if !r.late {
		n, err := r.Conn.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		r.late = true
		r.ready, r.end = takeReady(r.Conn, err)
	}
	if len(r.ready) == 0 {
		return 0, r.end
	}
	n := copy(p, r.ready)
	r.ready = r.ready[n:]
	return n, nil
}

// takeReady reads what has arrived on a connection without waiting. The end is io.EOF if
// the other side has closed, and else the error that is given.
func takeReady(c net.Conn, otherwise error) (data []byte, end error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil, otherwise
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil, otherwise
	}
	end = otherwise
	ctlErr := raw.Control(func(fd uintptr) {
		block := make([]byte, readyBlock)
		for len(data) < maxReady {
			n, _, err := unix.Recvfrom(int(fd), block, unix.MSG_DONTWAIT)
			if errors.Is(err, unix.EINTR) {
				continue
			}
			if err == nil && n == 0 {
				end = io.EOF
			}
			if err != nil || n <= 0 {
				return
			}
			data = append(data, block[:n]...)
		}
	})
	if ctlErr != nil {
		return nil, otherwise
	}
	return data, end
}
