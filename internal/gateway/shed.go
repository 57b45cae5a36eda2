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
	// mostFresh bounds the connections whose first request is not judged yet. At
	// half a millisecond of processor a request, and a fifth of a core, that is a
	// wait of 320 ms, under half of the second for which callers wait to be read.
	mostFresh = 128
	// freshTime is how long a connection counts so; one that sends nothing for that
	// long takes no processor.
	freshTime = time.Second
	// recountPeriod is how often connections are counted anew at most.
	recountPeriod = 50 * time.Millisecond
	// shedBack is when a caller that is shed may come back: at once. Most often a place is
	// free again by then. The balancer sends callers by who they are, and where the router
	// stays behind they meet it again until the balancer has believed that; those that wait
	// for it are late, while the others would have been served.
	shedBack = 20 * time.Millisecond
	// quietFor is how long a request may take to follow its connection.
	quietFor = 50 * time.Millisecond
	// lingerFor is how long a connection stays open behind its refusal. One that
	// closes with unread bytes is reset, and the caller may not see its answer.
	lingerFor = 300 * time.Millisecond
	// lingerBytes are read at its end: a request of usual size.
	lingerBytes = 32 << 10
)

// shedAnswer refuses a request that was not read.
var shedAnswer = []byte("HTTP/1.1 " + strconv.Itoa(http.StatusServiceUnavailable) + " Service Unavailable\r\n" +
	"Retry-After: " + strconv.FormatFloat(shedBack.Seconds(), 'f', 3, 64) + "\r\n" +
	"Lf-Outcome: " + string(fleet.OutcomeNotRun) + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")

// unreadBytes are where requests are read that nobody looks at. A buffer on the stack of
// each one's goroutine made that grow to twice the size, and the runtime gives stacks back
// only once it has collected garbage, which takes long where the processor is used up.
var unreadBytes = sync.Pool{New: func() any { return new([lingerBytes]byte) }}

// shed refuses a connection's request unread: that takes far fewer system calls than
// reading it. Where more callers come than a router can even refuse, it would else read
// each of them too late, for nobody; other routers have room.
func shed(conn net.Conn) {
	if target.Quiet(conn) {
		time.AfterFunc(quietFor, func() { refuseUnread(conn) })
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
	if _, err := conn.Write(shedAnswer); err != nil {
		_ = conn.Close() // the caller has gone
		return
	}
	if c, ok := conn.(*net.TCPConn); ok {
		_ = c.CloseWrite() // what fails here fails again at the close
	}
	time.AfterFunc(lingerFor, func() { finish(conn) })
}

// finish reads what has come on a connection, without waiting, and closes it.
func finish(conn net.Conn) {
	defer func() { _ = conn.Close() }() // the answer is out
	sc, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return // it is closed
	}
	buf, ok := unreadBytes.Get().(*[lingerBytes]byte)
	if !ok {
		return // the pool holds nothing else
	}
	defer unreadBytes.Put(buf)
	_ = raw.Control(func(fd uintptr) {
		_, _ = unix.Read(int(fd), buf[:]) // what is not there is not waited for
	})
}

// overfull reports whether so many callers wait to be read that the next one is
// better shed.
func (c *callers) overfull(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fresh < mostFresh {
		return false
	}
	if now.Sub(c.counted) >= recountPeriod {
		c.recount(now)
	}
	return c.fresh >= mostFresh
}

// noteShed counts a connection that is refused unread.
func (c *callers) noteShed(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shed++
	if c.pressure.waited(now, behindAfter) {
		c.logBehind(now, "callers")
	}
}

// tellShed writes how many were refused unread since it last did: of none of them is
// there a line, and nobody could tell afterwards why they were refused.
func (c *callers) tellShed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shed > c.shedTold {
		c.log.Warn("callers refused unread", "count", c.shed-c.shedTold, "connections", len(c.open), "fresh", c.fresh)
	}
	c.shedTold = c.shed
}

// shedCount returns how many connections were refused unread.
func (c *callers) shedCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shed
}

// recount counts the connections that wait for their first request to be judged.
func (c *callers) recount(now time.Time) {
	c.counted = now
	c.fresh = 0
	for _, known := range c.open {
		if known.fresh && now.Sub(known.since) > orDefault(c.freshFor, freshTime) {
			known.fresh = false
		}
		if known.fresh {
			c.fresh++
		}
	}
}

// judged notes that a connection's first request was judged, or will never be.
func (c *callers) judged(known *caller) {
	if known.fresh {
		known.fresh = false
		c.fresh--
	}
}
