package socket

import (
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
)

// MaxLateResponse is the MaxLate of readers of responses: a target that sends without pause does
// not prolong its response much.
const MaxLateResponse = 1 << 20

// A DeadlineReader reads from a connection. After the connection's deadline, it still returns the
// bytes that have arrived: while the process was suspended, the deadline may have passed with
// unread bytes in the socket. The first Read that finds none fails, and so does each one after it.
type DeadlineReader struct {
	Conn net.Conn
	// MaxLate limits how many bytes are read after the deadline. 0 means no limit.
	MaxLate int

	state     atomic.Int32
	lateBytes int // read after the deadline
}

// The states of a DeadlineReader.
const (
	readInTime  int32 = iota
	readLate          // the deadline has passed; what has arrived is read
	readExpired       // every Read fails
)

// DeadlineExceeded reports whether the deadline passed during a Read.
func (r *DeadlineReader) DeadlineExceeded() bool {
	return r.state.Load() != readInTime
}

// Reset makes the reader wait again. It is called before a new deadline is set.
func (r *DeadlineReader) Reset() {
	r.state.Store(readInTime)
}

// Expire makes every Read fail that has not returned, without looking for bytes that have arrived.
// It is called before a deadline is set that interrupts a Read.
func (r *DeadlineReader) Expire() {
	r.state.Store(readExpired)
}

// Read implements io.Reader.
func (r *DeadlineReader) Read(p []byte) (int, error) {
	if r.state.Load() == readInTime {
		n, err := r.Conn.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		r.lateBytes = 0
		r.state.CompareAndSwap(readInTime, readLate)
	}
	if r.state.Load() == readLate {
		n, err := ReadAvailable(r.Conn, r.limit(p))
		if n > 0 || errors.Is(err, io.EOF) {
			r.lateBytes += n
			return n, err
		}
		r.state.CompareAndSwap(readLate, readExpired)
	}
	return 0, os.ErrDeadlineExceeded
}

// limit shortens a buffer to the number of bytes that may still be read.
func (r *DeadlineReader) limit(p []byte) []byte {
	if r.MaxLate <= 0 {
		return p
	}
	return p[:min(len(p), r.MaxLate-r.lateBytes)]
}
