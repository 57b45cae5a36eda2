package caller

import (
	"net"
	"time"

	"laburnumfall/internal/socket"
)

const (
	// unansweredTimeout bounds how long a shutdown waits for requests that are being read or wait
	// for it, once no others are in progress. It is as long as callers wait for their request to be
	// read.
	unansweredTimeout = time.Second
	// unansweredPollInterval is the interval between checks for such requests.
	unansweredPollInterval = 5 * time.Millisecond
	// acceptQueueTimeout bounds how long connections are accepted from the accept queue before the
	// listener closes, which resets those that remain.
	acceptQueueTimeout      = 100 * time.Millisecond
	acceptQueuePollInterval = time.Millisecond
	// minAcceptQueuePolls and minUnansweredPolls are how often a wait looks at least. If its end has
	// passed while the process was suspended, what has arrived is still accepted and answered.
	minAcceptQueuePolls = 50
	minUnansweredPolls  = 20
)

// DrainAcceptQueue waits for a limited time until the accept queue is empty.
func (m *Manager) DrainAcceptQueue(listener net.Listener) {
	deadline := m.deadlineWithinGrace(time.Now(), acceptQueueTimeout)
	for polls := 0; socket.HasPendingConn(listener) && (polls < minAcceptQueuePolls || time.Now().Before(deadline)); polls++ {
		time.Sleep(acceptQueuePollInterval)
	}
}

// SetGraceEnd sets the end of the grace period of a shutdown. No wait lasts longer, except for the
// minimum number of looks.
func (m *Manager) SetGraceEnd(end time.Time) {
	m.graceEnd.Store(&end)
}

// deadlineWithinGrace returns the end of a wait of the given length. It is not later than the end of
// the grace period, since the process needs the time after that to exit.
func (m *Manager) deadlineWithinGrace(now time.Time, limit time.Duration) time.Time {
	deadline := now.Add(limit)
	if graceEnd := m.graceEnd.Load(); graceEnd != nil && graceEnd.Before(deadline) {
		return *graceEnd
	}
	return deadline
}

// close waits for requests that have begun to arrive, and then closes all connections.
//
// The lock is not held while servers are closed. A server waits on close until its Accept returns,
// which may need the lock, so a router that was stopped while a connection arrived would hang until
// it is killed.
func (m *Manager) close() {
	startedAt := time.Now()
	unanswered := m.awaitUnanswered(startedAt)
	m.mu.Lock()
	servers, open := m.servers, len(m.conns)
	m.mu.Unlock()
	if m.OnClose != nil {
		m.OnClose()
	}
	for _, server := range servers {
		_ = server.Close() // remaining requests have exceeded the grace period
	}
	m.Log.Info("callers' connections closed", "connections", open, "unanswered", unanswered, "took", time.Since(startedAt).Milliseconds())
}

// awaitUnanswered waits for a limited time until there are no requests that the router may have
// read in part, since their callers could not know whether they ran. It returns how many are left.
func (m *Manager) awaitUnanswered(now time.Time) int {
	deadline := m.deadlineWithinGrace(now, unansweredTimeout)
	for polls := 0; m.hasUnanswered() && (polls < minUnansweredPolls || time.Now().Before(deadline)); polls++ {
		time.Sleep(unansweredPollInterval)
	}
	return m.UnansweredCount()
}

// UnansweredCount counts the connections with a request that has arrived at least in part and has
// no response: requests at targets, requests that are being read or wait for it, requests that the
// server has not noticed yet, and those that will probably arrive at once on new connections.
func (m *Manager) UnansweredCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	count := 0
	for conn, info := range m.conns {
		if info.mayHaveRequest(conn, now) || !socket.IsIdle(conn) {
			count++
		}
	}
	return count
}

// hasUnanswered reports whether any request has no response. It is called often, and a system call
// for each connection would take processor time from these requests. It makes system calls only if
// no tracked state shows a request, and stops at the first connection that has one.
func (m *Manager) hasUnanswered() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for conn, info := range m.conns {
		if info.mayHaveRequest(conn, now) {
			return true
		}
	}
	for conn := range m.conns {
		if !socket.IsIdle(conn) {
			return true
		}
	}
	return false
}

// mayHaveRequest reports whether, without a system call, the connection has a request without a
// response, or is so new that one will probably arrive at once.
func (i *connInfo) mayHaveRequest(conn net.Conn, now time.Time) bool {
	justAccepted := i.fresh && now.Sub(i.acceptedAt) < requestStartTimeout
	return justAccepted || i.inRequest || hasRequest(conn)
}

// hasRequestBytes reports whether a part of a request has arrived on a connection, read or unread.
// net/http reports a request only after it has read its complete header.
func hasRequestBytes(conn net.Conn) bool {
	return hasRequest(conn) || !socket.IsIdle(conn)
}
