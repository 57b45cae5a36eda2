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
	// maxFreshConns bounds the connections whose first request is not judged yet. At
	// half a millisecond of processor a request, and a fifth of a core, that is a
	// wait of 320 ms, under half of the second for which callers wait to be read.
	maxFreshConns = 128
	// defaultFreshTimeout is how long a connection counts so; one that sends nothing for that
	// long takes no processor.
	defaultFreshTimeout = time.Second
	// freshRecountInterval is how often connections are counted anew at most.
	freshRecountInterval = 50 * time.Millisecond
	// shedRetryAfter is when a caller that is shed may come back: at once. Most often a place is
	// free again by then. The balancer sends callers by who they are, and where the router
	// stays behind they meet it again until the balancer has believed that; those that wait
	// for it are late, while the others would have been served.
	shedRetryAfter = 20 * time.Millisecond
	// requestStartTimeout is how long a request may take to follow its connection.
	requestStartTimeout = 50 * time.Millisecond
	// lingerTime is how long a connection stays open behind its refusal. One that
	// closes with unread bytes is reset, and the caller may not see its answer.
	lingerTime = 300 * time.Millisecond
	// lingerBytes are read at its end: a request of usual size.
	lingerBytes = 32 << 10
)

// shedResponse refuses a request that was not read.
var shedResponse = []byte("HTTP/1.1 " + strconv.Itoa(http.StatusServiceUnavailable) + " Service Unavailable\r\n" +
	"Retry-After: " + strconv.FormatFloat(shedRetryAfter.Seconds(), 'f', 3, 64) + "\r\n" +
	"Lf-Outcome: " + string(fleet.OutcomeNotRun) + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")

// lingerBuffers are where requests are read that nobody looks at. A buffer on the stack of
// each one's goroutine made that grow to twice the size, and the runtime gives stacks back
// only once it has collected garbage, which takes long where the processor is used up.
var lingerBuffers = sync.Pool{New: func() any { return new([lingerBytes]byte) }}

// shedConn refuses a connection's request unread: that takes far fewer system calls than
// reading it. Where more callers come than a router can even refuse, it would else read
// each of them too late, for nobody; other routers have room.
func shedConn(conn net.Conn) {
	if target.Quiet(conn) {
		time.AfterFunc(requestStartTimeout, func() { refuseUnread(conn) })
		return
	}
	refuseUnread(conn)
}

// refuseUnread answers a connection's request, if there is one by now.
func refuseUnread(conn net.Conn) {
	if target.Quiet(conn) {
		_ = conn.Close() // no request to answer: it can be sent elsewhere
		return
	}
	if _, err := conn.Write(shedResponse); err != nil {
		_ = conn.Close() // the caller has gone
		return
	}
	if c, ok := conn.(*net.TCPConn); ok {
		_ = c.CloseWrite() // what fails here fails again at the close
	}
	time.AfterFunc(lingerTime, func() { drainAndClose(conn) })
}

// finish reads what has come on a connection, without waiting, and closes it.
func drainAndClose(conn net.Conn) {
	defer func() { _ = conn.Close() }() // the answer is out
	sc, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return // it is closed
	}
	buf, ok := lingerBuffers.Get().(*[lingerBytes]byte)
	if !ok {
		return // the pool holds nothing else
	}
	defer lingerBuffers.Put(buf)
	_ = raw.Control(func(fd uintptr) {
		_, _ = unix.Read(int(fd), buf[:]) // what is not there is not waited for
	})
}

// tooManyFresh reports whether so many callers wait to be read that the next one is
// better shed.
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

// recordShed counts a connection that is refused unread.
func (c *connManager) recordShed(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shedConns++
	if c.overload.recordWait(now, overloadThreshold) {
		c.logOverload(now, "callers")
	}
}

// logShed writes how many were refused unread since it last did: of none of them is
// there a line, and nobody could tell afterwards why they were refused.
func (c *connManager) logShed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shedConns > c.loggedShedConns {
		c.log.Warn("callers refused unread", "count", c.shedConns-c.loggedShedConns, "connections", len(c.conns), "fresh", c.freshCount)
	}
	c.loggedShedConns = c.shedConns
}

// shedCount returns how many connections were refused unread.
func (c *connManager) shedCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shedConns
}

// recountFresh counts the connections that wait for their first request to be judged.
func (c *connManager) recountFresh(now time.Time) {
	c.freshCountedAt = now
	c.freshCount = 0
	for _, known := range c.conns {
		if known.fresh && now.Sub(known.acceptedAt) > orDefault(c.freshTimeout, defaultFreshTimeout) {
			known.fresh = false
		}
		if known.fresh {
			c.freshCount++
		}
	}
}

// clearFresh notes that a connection's first request was judged, or will never be.
func (c *connManager) clearFresh(known *connInfo) {
	if known.fresh {
		known.fresh = false
		c.freshCount--
	}
}
