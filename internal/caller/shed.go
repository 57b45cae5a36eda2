package caller

import (
	"net"
	"net/http"
	"strconv"
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/socket"
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
)

// headerTimeoutResponse is the response to a request whose header has not arrived completely in
// time.
var headerTimeoutResponse = notRunResponse(http.StatusRequestTimeout, minShedRetryAfter)

// notRunResponse returns a response without a body that asks the caller to retry.
func notRunResponse(status int, retryAfter time.Duration) []byte {
	return []byte("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n" +
		"Retry-After: " + strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64) + "\r\n" +
		"Lf-Outcome: " + string(fleet.OutcomeNotRun) + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
}

// shedResponse returns the response to a request that is shed.
func shedResponse(retryAfter time.Duration) []byte {
	return notRunResponse(http.StatusServiceUnavailable, retryAfter)
}

// shedConn refuses the request of a connection without reading it, which takes far fewer system
// calls than reading it. If callers arrive faster than the router can even refuse their requests,
// it would otherwise read each request after its caller has left, although other routers have spare
// capacity.
func shedConn(conn net.Conn, retryAfter time.Duration) {
	if socket.IsIdle(conn) {
		time.AfterFunc(requestStartTimeout, func() { refuseUnread(conn, retryAfter) })
		return
	}
	refuseUnread(conn, retryAfter)
}

// refuseUnread answers a connection's request, or closes the connection if no request has arrived.
func refuseUnread(conn net.Conn, retryAfter time.Duration) {
	if socket.IsIdle(conn) {
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
	time.AfterFunc(shedLingerTime, func() { drainAndClose(conn) })
}

// tooManyFresh reports whether so many callers wait for their first request to be read that the
// next connection must be shed.
func (m *Manager) tooManyFresh(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.freshCount < maxFreshConns {
		return false
	}
	if now.Sub(m.freshCountedAt) >= freshRecountInterval {
		m.recountFresh(now)
	}
	return m.freshCount >= maxFreshConns
}

// recordShed counts a connection that is shed, and returns when its caller may retry.
func (m *Manager) recordShed(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.shedConns++
	if m.overload.recordWait(now, overloadThreshold) {
		m.logOverload(now, "callers")
	}
	return m.shedRetries.next(now)
}

// LogShed logs how many connections have been shed since the last call. Individual shed requests
// are not logged, so this line is the only record of their refusal.
func (m *Manager) LogShed() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.shedConns > m.loggedShedConns {
		m.Log.Warn("callers refused unread", "count", m.shedConns-m.loggedShedConns, "connections", len(m.conns), "fresh", m.freshCount)
	}
	m.loggedShedConns = m.shedConns
}

// ShedCount returns how many connections have been shed.
func (m *Manager) ShedCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.shedConns
}

// recountFresh recounts the fresh connections. Those that have been fresh for longer than the
// timeout no longer count.
func (m *Manager) recountFresh(now time.Time) {
	m.freshCountedAt = now
	m.freshCount = 0
	for _, info := range m.conns {
		if info.fresh && now.Sub(info.acceptedAt) > orDefault(m.freshTimeout, defaultFreshTimeout) {
			info.fresh = false
		}
		if info.fresh {
			m.freshCount++
		}
	}
}

// clearFresh stops counting a connection as fresh. It is called when the first request has been read
// and checked, when its unread timeout has expired, and when the connection is idle or closed.
func (m *Manager) clearFresh(info *connInfo) {
	if info.fresh {
		info.fresh = false
		m.freshCount--
	}
}
