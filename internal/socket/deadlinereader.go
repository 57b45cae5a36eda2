package socket

import (
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// lateReadStep is the longest time that a single wait after the deadline counts. Of a wait during
// which the process was suspended, only this much is deducted from MaxLateWait.
const lateReadStep = 250 * time.Millisecond

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
	// MaxLateWait limits how long Reads wait in total after the deadline. They wait only if bytes
	// have arrived: of a message that is larger than the socket's buffer, the peer sends the rest
	// once these have been read.
	MaxLateWait time.Duration

	state        atomic.Int32
	deadline     atomic.Int64  // since processStart in nanoseconds, or 0 if there is none
	lateBytes    int           // read after the deadline
	lateTimeLeft time.Duration // of MaxLateWait
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

// processStart is the origin of times that are stored as numbers.
var processStart = time.Now()

// Reset makes the reader wait again. It is called before a new deadline is set, or the zero time for
// none.
func (r *DeadlineReader) Reset(deadline time.Time) {
	if deadline.IsZero() {
		r.deadline.Store(0)
	} else {
		r.deadline.Store(int64(deadline.Sub(processStart)))
	}
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
		exceeded := n == 0 && errors.Is(err, os.ErrDeadlineExceeded)
		if exceeded || n > 0 && r.deadlineExceeded() {
			r.lateBytes, r.lateTimeLeft = n, r.MaxLateWait
			r.state.CompareAndSwap(readInTime, readLate)
		}
		if !exceeded {
			return n, err
		}
	}
	for r.state.Load() == readLate {
		n, err := ReadAvailable(r.Conn, r.limit(p))
		if errors.Is(err, ErrWouldBlock) && r.lateBytes > 0 && r.lateTimeLeft > 0 {
			n, err = r.readForStep(r.limit(p))
		}
		switch {
		case n > 0 || errors.Is(err, io.EOF):
			r.lateBytes += n
			return n, err
		case !errors.Is(err, os.ErrDeadlineExceeded):
			r.state.CompareAndSwap(readLate, readExpired)
		}
	}
	return 0, os.ErrDeadlineExceeded
}

// deadlineExceeded reports whether the deadline has passed. A Read may still return bytes then, since
// the runtime notices a deadline and the arrival of bytes in any order.
func (r *DeadlineReader) deadlineExceeded() bool {
	deadline := r.deadline.Load()
	return deadline != 0 && int64(time.Since(processStart)) > deadline
}

// readForStep reads, and waits for at most a part of the time that is left for late reads.
func (r *DeadlineReader) readForStep(p []byte) (int, error) {
	step := min(lateReadStep, r.lateTimeLeft)
	startedAt := time.Now()
	if err := r.Conn.SetReadDeadline(startedAt.Add(step)); err != nil {
		return 0, err
	}
	if r.state.Load() != readLate { // the deadline of Expire's caller may have been replaced
		return 0, os.ErrDeadlineExceeded
	}
	n, err := r.Conn.Read(p)
	r.lateTimeLeft -= min(time.Since(startedAt), step)
	return n, err
}

// limit shortens a buffer to the number of bytes that may still be read.
func (r *DeadlineReader) limit(p []byte) []byte {
	if r.MaxLate <= 0 {
		return p
	}
	return p[:min(len(p), r.MaxLate-r.lateBytes)]
}
