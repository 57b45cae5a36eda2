package caller

import (
	"io"
	"net"
	"sync"
	"time"

	"laburnumfall/internal/socket"
)

// Closing a connection with unread bytes resets it, and the caller may lose the response that gives
// the reason. So after a refused request, a connection is closed in two steps: first for writing,
// and for reading after the caller has had time to read the response.
const (
	// lingerTime and lingerBytes limit the reading of a refused request.
	lingerTime  = 2 * time.Second
	lingerBytes = 64 << 20
	// shedLingerTime is how long a shed connection stays open. No goroutine reads it meanwhile.
	shedLingerTime = 300 * time.Millisecond
	// shedLingerBytes is how much is read before a shed connection is closed. A request of usual
	// size fits.
	shedLingerBytes = 32 << 10
)

// LingerOnClose makes Close read the rest of a refused request for a limited time.
func (c *Conn) LingerOnClose() {
	c.lingers.Store(true)
}

// ResetOnClose makes Close reset the connection. Where the end of the connection is the end of a
// response, only a reset shows the caller that the response is incomplete.
func (c *Conn) ResetOnClose() {
	c.resets.Store(true)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	if c.onClose != nil {
		c.onClose()
	}
	if c.resets.Load() {
		_ = c.SetLinger(0) // fails only if the connection is closed
		return c.tcpConn.Close()
	}
	if !c.lingers.Swap(false) {
		return c.tcpConn.Close()
	}
	if err := c.CloseWrite(); err != nil {
		return c.tcpConn.Close()
	}
	go c.linger()
	return nil
}

func (c *Conn) linger() {
	if err := c.tcpConn.SetReadDeadline(time.Now().Add(lingerTime)); err == nil {
		// Whatever ends the copy, the connection is closed next.
		_, _ = io.CopyN(io.Discard, c.tcpConn, lingerBytes)
	}
	_ = c.tcpConn.Close() // its response is sent
}

// shedBuffers holds the buffers for reading shed requests. A buffer on the stack would make the
// stack of each goroutine grow to twice the buffer's size, and the runtime frees stacks only during
// garbage collection, which takes long when the processor is saturated.
var shedBuffers = sync.Pool{New: func() any { return new([shedLingerBytes]byte) }}

// drainAndClose reads without waiting what has arrived on a connection, and closes it.
func drainAndClose(conn net.Conn) {
	defer func() { _ = conn.Close() }() // the response has been sent
	buffer, ok := shedBuffers.Get().(*[shedLingerBytes]byte)
	if !ok {
		return // never happens: the pool holds only such buffers
	}
	defer shedBuffers.Put(buffer)
	_, _ = socket.ReadAvailable(conn, buffer[:]) // the connection is closed next
}
