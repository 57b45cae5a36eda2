package gateway

import (
	"net"
	"sync/atomic"
	"time"

	"laburnumfall/internal/target"
)

const (
	// unansweredTimeout bounds how long requests that are being read, or wait for that, are
	// waited for once nothing else is in progress: as long as callers wait to be read.
	unansweredTimeout = time.Second
	// unansweredPollInterval is how often they are counted.
	unansweredPollInterval = 5 * time.Millisecond
	// acceptQueueTimeout bounds how long callers that stand in the queue of new connections are
	// let in before it closes, which resets those that are left.
	acceptQueueTimeout      = 100 * time.Millisecond
	acceptQueuePollInterval = time.Millisecond
)

// drainAcceptQueue waits, within bounds, until no connection waits to be accepted.
func (c *connManager) drainAcceptQueue(l net.Listener) {
	for end := c.deadlineWithinGrace(time.Now(), acceptQueueTimeout); hasPendingConn(l) && time.Now().Before(end); {
		time.Sleep(acceptQueuePollInterval)
	}
}

// deadlineWithinGrace returns when something ends that may take so long from now on: not behind the
// end of the grace, of which the rest is for the process to end.
func (c *connManager) deadlineWithinGrace(now time.Time, most time.Duration) time.Time {
	end := now.Add(most)
	if grace := c.graceEnd.Load(); grace != nil && grace.Before(end) {
		return *grace
	}
	return end
}

// close answers what was begun to be read, and ends all connections.
//
// A server that closes waits until it accepts no more, and that may wait for the lock:
// it is not held meanwhile. With it, a router that was told to stop hung until it was
// killed if a connection came at that moment.
func (c *connManager) close() {
	began := time.Now()
	unanswered := c.awaitUnanswered(began)
	c.mu.Lock()
	servers, open := c.servers, len(c.conns)
	c.mu.Unlock()
	if c.onClose != nil {
		c.onClose()
	}
	for _, s := range servers {
		_ = s.Close() // what is left has outlived the grace
	}
	c.log.Info("callers' connections closed", "connections", open, "unanswered", unanswered, "took", time.Since(began).Milliseconds())
}

// awaitUnanswered waits, within bounds, until no request is left of which the router may have
// read a part: its caller cannot know whether it ran. It returns how many are left.
func (c *connManager) awaitUnanswered(now time.Time) int {
	end := c.deadlineWithinGrace(now, unansweredTimeout)
	for time.Now().Before(end) && c.hasUnanswered() {
		time.Sleep(unansweredPollInterval)
	}
	return c.unansweredCount()
}

// unansweredCount counts the requests that have come, in part or whole, and have no answer:
// those that a target has, those that are being read or wait for it, those of which no
// server knows yet, and those that follow their connections at any moment.
func (c *connManager) unansweredCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	n := 0
	for conn, known := range c.conns {
		if known.mayHaveRequest(conn, now) || !target.Quiet(conn) {
			n++
		}
	}
	return n
}

// hasUnanswered reports whether any request has no answer. It is asked often: a system call for
// each connection would take what those requests need, so that is only made where nothing
// else tells, and until the first that has one.
func (c *connManager) hasUnanswered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for conn, known := range c.conns {
		if known.mayHaveRequest(conn, now) {
			return true
		}
	}
	for conn := range c.conns {
		if !target.Quiet(conn) {
			return true
		}
	}
	return false
}

// mayHaveRequest reports whether this router knows without asking the system that a connection has
// a request without an answer, or may have one at any moment.
func (k *connInfo) mayHaveRequest(conn net.Conn, now time.Time) bool {
	follows := k.fresh && now.Sub(k.acceptedAt) < requestStartTimeout
	return follows || k.inRequest || requestStarted(conn)
}

// hasRequestBytes reports whether a part of a request has come on a connection: read, or not
// yet. The library tells of it only once it has read a whole head.
func hasRequestBytes(conn net.Conn) bool {
	return requestStarted(conn) || !target.Quiet(conn)
}

// A callerConn is a caller's connection that knows whether a part of a request was
// read: the library tells only once it has a whole head.
type callerConn struct {
	*net.TCPConn

	requestStarted atomic.Bool
}

// Read implements net.Conn.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 {
		c.requestStarted.Store(true)
	}
	return n, err
}

func trackReads(conn net.Conn) net.Conn {
	if tcp, ok := conn.(*net.TCPConn); ok {
		return &callerConn{TCPConn: tcp}
	}
	return conn
}

func requestStarted(conn net.Conn) bool {
	c, ok := conn.(*callerConn)
	return ok && c.requestStarted.Load()
}

// clearRequestStarted notes that the request of which a part was read has its answer.
func clearRequestStarted(conn net.Conn) {
	if c, ok := conn.(*callerConn); ok {
		c.requestStarted.Store(false)
	}
}
