package socket

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
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
// unread bytes in the socket. A Read that finds none waits at most for MaxLateWait and then fails, and
// so does each one after it until the reader is reset.
type DeadlineReader struct {
	Conn net.Conn
	// MaxLate limits how many bytes are read after the deadline. 0 means no limit.
	MaxLate int
	// MaxLateWait limits how long Reads wait in total after the deadline. They wait only if bytes
	// have arrived: of a message that is larger than the socket's buffer, the peer sends the rest
	// once these have been read.
	MaxLateWait time.Duration

	// mu is held while state and the connection's deadline are set, so that a wait of a Read does not
	// replace a deadline that has been set meanwhile.
	mu           sync.Mutex
	state        atomic.Int32
	resets       atomic.Uint64 // counts calls of Reset
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

// Reset makes the reader wait again, for a deadline of the connection or, if it is the zero time,
// without one. A Read that has not returned waits for the new deadline.
func (r *DeadlineReader) Reset(deadline time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reset(deadline)
}

func (r *DeadlineReader) reset(deadline time.Time) {
	if deadline.IsZero() {
		r.deadline.Store(0)
	} else {
		r.deadline.Store(int64(deadline.Sub(processStart)))
	}
	r.resets.Add(1)
	r.state.Store(readInTime)
}

// SetReadDeadline sets the connection's read deadline, or the zero time for none, and makes the reader
// wait again.
func (r *DeadlineReader) SetReadDeadline(deadline time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reset(deadline)
	return r.Conn.SetReadDeadline(deadline)
}

// Interrupt sets a read deadline that has passed, and makes every Read fail that has not returned,
// without looking for bytes that have arrived.
func (r *DeadlineReader) Interrupt(deadline time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.Store(readExpired)
	return r.Conn.SetReadDeadline(deadline)
}

// Read implements io.Reader.
func (r *DeadlineReader) Read(p []byte) (int, error) {
	for {
		resets := r.resets.Load()
		n, err := r.readUntilDeadline(p, resets)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || r.resets.Load() == resets {
			return n, err
		}
	}
}

// readUntilDeadline is Read for the deadline of the given reset.
func (r *DeadlineReader) readUntilDeadline(p []byte, resets uint64) (int, error) {
	if r.state.Load() == readInTime {
		n, err := r.Conn.Read(p)
		exceeded := n == 0 && errors.Is(err, os.ErrDeadlineExceeded)
		if exceeded || n > 0 && r.deadlineExceeded() {
			r.lateBytes, r.lateTimeLeft = n, r.MaxLateWait
			r.changeState(resets, readInTime, readLate)
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
			r.changeState(resets, readLate, readExpired)
		}
	}
	return 0, os.ErrDeadlineExceeded
}

// changeState changes the state, unless the reader has been reset or interrupted meanwhile.
func (r *DeadlineReader) changeState(resets uint64, from, to int32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.resets.Load() == resets {
		r.state.CompareAndSwap(from, to)
	}
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
	if err := r.setStepDeadline(startedAt.Add(step)); err != nil {
		return 0, err
	}
	n, err := r.Conn.Read(p)
	r.lateTimeLeft -= min(time.Since(startedAt), step)
	return n, err
}

// setStepDeadline sets the end of a wait after the deadline, unless the reader has been reset or
// interrupted meanwhile.
func (r *DeadlineReader) setStepDeadline(end time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state.Load() != readLate {
		return os.ErrDeadlineExceeded
	}
	return r.Conn.SetReadDeadline(end)
}

// limit shortens a buffer to the number of bytes that may still be read.
func (r *DeadlineReader) limit(p []byte) []byte {
	if r.MaxLate <= 0 {
		return p
	}
	return p[:min(len(p), r.MaxLate-r.lateBytes)]
}
