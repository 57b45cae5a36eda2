package socket

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// endGrace is how long the end of a peer's stream is doubted while the message to it is not written
// whole. A peer that has terminated resets the connection within a round trip, or within the time after
// which a lost packet is sent again.
const endGrace = 300 * time.Millisecond

// A BrokenOffError reports that a peer's stream ended without being whole: the connection failed, or
// the peer had not read the whole message that was written to it and reads no more.
type BrokenOffError struct {
	Err error
}

// Error returns the cause.
func (e *BrokenOffError) Error() string {
	return fmt.Sprintf("the stream ended before it was whole (look for the end of the peer): %v", e.Err)
}

// Unwrap returns the cause.
func (e *BrokenOffError) Unwrap() error {
	return e.Err
}

// A MessageWriter writes a message to a connection without waiting until the peer reads it, so that the
// peer's answer can be read meanwhile. Set the exported fields, call Write for each part of the message,
// and then Finish.
type MessageWriter struct {
	Conn  net.Conn
	Taken *TakenError

	done chan struct{} // closed when the message has been written or its write has failed; set by Finish

	mu      sync.Mutex
	rest    []byte // of the parts, what does not fit into the send buffer
	written int
	err     error
}

// Write implements io.Writer. It returns at once: what does not fit into the connection's send buffer is
// copied, and is written after Finish.
func (w *MessageWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err != nil {
		return 0, w.err
	}
	n := 0
	if len(w.rest) == 0 {
		n, w.err = w.writeAvailable(p)
		w.written += n
		if w.err != nil {
			return n, w.err
		}
	}
	w.rest = append(w.rest, p[n:]...)
	return len(p), nil
}

// Finish writes the last part of the message and, in the background, what does not fit into the send
// buffer. The last part must not change until the write is done.
func (w *MessageWriter) Finish(last []byte) {
	w.done = make(chan struct{})
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err == nil && len(w.rest) == 0 {
		var n int
		n, w.err = w.writeAvailable(last)
		w.written += n
		last = last[n:]
	}
	if w.err != nil || len(w.rest)+len(last) == 0 {
		close(w.done)
		return
	}
	go w.writeRest(w.rest, last)
}

// Done returns a channel that is closed when the message has been written or its write has failed.
func (w *MessageWriter) Done() <-chan struct{} {
	return w.done
}

// Result returns how many bytes have been written, and the error that ended the write.
func (w *MessageWriter) Result() (written int, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written, w.err
}

// Wait waits for at most the given time, and reports whether the whole message has been written.
func (w *MessageWriter) Wait(timeout time.Duration) (whole bool) {
	select {
	case <-w.done:
	default:
		timer := time.NewTimer(timeout)
		defer timer.Stop()
		select {
		case <-w.done:
		case <-timer.C:
			return false
		}
	}
	_, err := w.Result()
	return err == nil
}

// CheckEnd returns a BrokenOffError unless the end of the peer's stream, at which a read has returned
// io.EOF, is a whole one. While the message is not written whole, it waits for at most endGrace.
func (w *MessageWriter) CheckEnd() error {
	if !w.Wait(endGrace) {
		w.Taken.take(w.Conn) // the background write may not have run since the peer's reset
	}
	if err := w.Taken.Err(); err != nil {
		return &BrokenOffError{Err: err}
	}
	return nil
}

func (w *MessageWriter) writeRest(parts ...[]byte) {
	defer close(w.done)
	for _, part := range parts {
		written, err := w.writeWaiting(part)
		w.mu.Lock()
		w.written += written
		w.err = err
		w.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// writeAvailable writes what fits into the send buffer.
func (w *MessageWriter) writeAvailable(p []byte) (written int, err error) {
	rawConn, err := rawConnOf(w.Conn)
	if errors.Is(err, ErrWouldBlock) {
		return 0, nil // not a socket
	}
	if err != nil {
		return 0, err
	}
	var sendErr error
	err = rawConn.Write(func(fd uintptr) bool {
		written, sendErr = w.send(fd, p)
		return true
	})
	return written, firstError(sendErr, err)
}

// writeWaiting writes all bytes and waits while the send buffer is full.
func (w *MessageWriter) writeWaiting(p []byte) (written int, err error) {
	rawConn, err := rawConnOf(w.Conn)
	if errors.Is(err, ErrWouldBlock) {
		return w.Conn.Write(p) // not a socket
	}
	if err != nil {
		return 0, err
	}
	var sendErr error
	err = rawConn.Write(func(fd uintptr) bool {
		var n int
		n, sendErr = w.send(fd, p[written:])
		written += n
		return sendErr != nil || written == len(p)
	})
	return written, firstError(sendErr, err)
}

// send writes what fits into the send buffer of a socket.
func (w *MessageWriter) send(fd uintptr, p []byte) (written int, err error) {
	w.Taken.mu.Lock()
	defer w.Taken.mu.Unlock()
	for written < len(p) {
		n, err := unix.SendmsgN(int(fd), p[written:], nil, nil, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL)
		switch {
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return written, nil
		case err != nil:
			err = os.NewSyscallError("sendmsg", err)
			w.Taken.keep(err)
			return written, err
		default:
			written += n
		}
	}
	return written, nil
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
