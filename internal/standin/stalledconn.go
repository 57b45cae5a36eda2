package standin

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// A StalledConn is a connection of a server whose process is suspended between setting a deadline
// and the Read or Write that the deadline applies to, for so long that the deadline passes.
type StalledConn struct {
	net.Conn
	// StallRead is called before each Read with a deadline, with the number of bytes read so far,
	// until it returns true: then that Read's deadline has passed.
	StallRead func(bytesRead int) bool
	// StallWrites makes the deadline of each Write pass.
	StallWrites bool

	mu            sync.Mutex
	bytesRead     int
	readDeadline  time.Time
	writeDeadline time.Time
	stalled       bool
}

// SetDeadline implements net.Conn.
func (c *StalledConn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *StalledConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn.
func (c *StalledConn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = t
	return c.Conn.SetWriteDeadline(t)
}

// HasWriteDeadline reports whether a write deadline is set.
func (c *StalledConn) HasWriteDeadline() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.writeDeadline.IsZero()
}

// Read implements net.Conn.
func (c *StalledConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if !c.stalled && c.StallRead != nil && time.Now().Before(c.readDeadline) && c.StallRead(c.bytesRead) {
		c.stalled = true
		_ = c.Conn.SetReadDeadline(time.Now()) // fails only on a closed connection
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bytesRead += n
	return n, err
}

// Write implements net.Conn.
func (c *StalledConn) Write(p []byte) (int, error) {
	if c.StallWrites && c.HasWriteDeadline() {
		_ = c.Conn.SetWriteDeadline(time.Now()) // fails only on a closed connection
	}
	return c.Conn.Write(p)
}

// SyscallConn implements syscall.Conn.
func (c *StalledConn) SyscallConn() (syscall.RawConn, error) {
	if conn, ok := c.Conn.(syscall.Conn); ok {
		return conn.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// SetLinger sets what happens to unsent bytes when the connection is closed, as for a *net.TCPConn.
func (c *StalledConn) SetLinger(seconds int) error {
	if conn, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return conn.SetLinger(seconds)
	}
	return errors.ErrUnsupported
}

// CloseWrite closes the writing side of a TCP connection.
func (c *StalledConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// receiveTimeout bounds how long AwaitReceived waits.
const receiveTimeout = 10 * time.Second

// AwaitReceived waits until the kernel of the peer has received all bytes that were written to a
// TCP connection.
func AwaitReceived(conn net.Conn) error {
	tcpConn, ok := conn.(*net.TCPConn)
	if !ok {
		return errors.New("not a TCP connection")
	}
	rawConn, err := tcpConn.SyscallConn()
	if err != nil {
		return err
	}
	for deadline := time.Now().Add(receiveTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		unacknowledged := 0
		var ioctlErr error
		if err := rawConn.Control(func(fd uintptr) { unacknowledged, ioctlErr = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) }); err != nil {
			return err
		}
		if ioctlErr != nil || unacknowledged == 0 {
			return ioctlErr
		}
	}
	return errors.New("the peer has not received all bytes")
}
