package gateway

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/target"
)

const (
	// maxFreshConns bounds the connections whose first request has not been read and checked. A
	// request takes half a millisecond of processor time, so with a fifth of a core the last one
	// waits 320 ms. This is less than half of the second that callers wait for their request to be
	// read.
	maxFreshConns = 128
	// defaultFreshTimeout is how long a connection counts as fresh. A connection that sends nothing
	// for that long takes no processor time.
	defaultFreshTimeout = time.Second
	// freshRecountInterval is the minimum interval between recounts of fresh connections.
	freshRecountInterval = 50 * time.Millisecond
	// requestStartTimeout is how long after its connection is accepted the first bytes of a request
	// may arrive.
	requestStartTimeout = 50 * time.Millisecond
	// lingerTime is how long a connection stays open after it was refused. Closing it with unread
	// bytes would reset it, and the caller might not see the response.
	lingerTime = 300 * time.Millisecond
	// lingerBytes is how much is read before the close. A request of usual size fits.
	lingerBytes = 32 << 10
)

// shedResponse returns the response to a request that is shed.
func shedResponse(retryAfter time.Duration) []byte {
	return []byte("HTTP/1.1 " + strconv.Itoa(http.StatusServiceUnavailable) + " Service Unavailable\r\n" +
		"Retry-After: " + strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64) + "\r\n" +
		"Lf-Outcome: " + string(fleet.OutcomeNotRun) + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
}

// lingerBuffers holds the buffers for reading shed requests. A buffer on the stack would make the
// stack of each goroutine grow to twice the buffer's size, and the runtime frees stacks only during
// garbage collection, which takes long when the processor is saturated.
var lingerBuffers = sync.Pool{New: func() any { return new([lingerBytes]byte) }}

// shedConn refuses the request of a connection without reading it, which takes far fewer system
// calls than reading it. If callers arrive faster than the router can even refuse their requests,
// it would otherwise read each request after its caller has left, although other routers have spare
// capacity.
func shedConn(conn net.Conn, retryAfter time.Duration) {
	if target.IsIdle(conn) {
		time.AfterFunc(requestStartTimeout, func() { refuseUnread(conn, retryAfter) })
		return
	}
	refuseUnread(conn, retryAfter)
}

// refuseUnread answers a connection's request, or closes the connection if no request has arrived.
func refuseUnread(conn net.Conn, retryAfter time.Duration) {
	if target.IsIdle(conn) {
		_ = conn.Close() // no request is lost; the caller can send it elsewhere
		return
	}
	if _, err := conn.Write(shedResponse(retryAfter)); err != nil {
		_ = conn.Close() // the caller has left
		return
	}
	if tcpConn, ok := conn.(*net.TCPConn); ok {
		_ = tcpConn.CloseWrite() // an error here recurs at Close
	}
	time.AfterFunc(lingerTime, func() { drainAndClose(conn) })
}

// drainAndClose reads without blocking what has arrived on a connection, and closes it.
func drainAndClose(conn net.Conn) {
	defer func() { _ = conn.Close() }() // the response has been sent
	tcpConn, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	rawConn, err := tcpConn.SyscallConn()
	if err != nil {
		return // the connection is closed
	}
	buffer, ok := lingerBuffers.Get().(*[lingerBytes]byte)
	if !ok {
		return // never happens: the pool holds only such buffers
	}
	defer lingerBuffers.Put(buffer)
	_ = rawConn.Control(func(fd uintptr) {
		_, _ = unix.Read(int(fd), buffer[:]) // the descriptor is non-blocking
	})
}

// tooManyFresh reports whether so many callers wait for their first request to be read that the
// next connection must be shed.
func (c *connManager) tooManyFresh(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.freshCount < maxFreshConns {
		return false
	}
	if now.Sub(c.freshCountedAt) >= freshRecountInterval {
		c.recountFresh(now)
	}
	return c.freshCount >= maxFreshConns
}

// recordShed counts a connection that is shed, and returns when its caller may retry.
func (c *connManager) recordShed(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shedConns++
	if c.overload.recordWait(now, overloadThreshold) {
		c.logOverload(now, "callers")
	}
	return c.shedRetries.next(now)
}

// logShed logs how many connections have been shed since the last call. Individual shed requests
// are not logged, so this line is the only record of their refusal.
func (c *connManager) logShed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shedConns > c.loggedShedConns {
		c.log.Warn("callers refused unread", "count", c.shedConns-c.loggedShedConns, "connections", len(c.conns), "fresh", c.freshCount)
	}
	c.loggedShedConns = c.shedConns
}

// shedCount returns how many connections have been shed.
func (c *connManager) shedCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shedConns
}

// recountFresh recounts the fresh connections. Those that have been fresh for longer than the
// timeout no longer count.
func (c *connManager) recountFresh(now time.Time) {
	c.freshCountedAt = now
	c.freshCount = 0
	for _, info := range c.conns {
		if info.fresh && now.Sub(info.acceptedAt) > orDefault(c.freshTimeout, defaultFreshTimeout) {
			info.fresh = false
		}
		if info.fresh {
			c.freshCount++
		}
	}
}

// clearFresh stops counting a connection as fresh. It is called when the first request has been read
// and checked, when its unread timeout has expired, and when the connection is idle or closed.
func (c *connManager) clearFresh(info *connInfo) {
	if info.fresh {
		info.fresh = false
		c.freshCount--
	}
}
