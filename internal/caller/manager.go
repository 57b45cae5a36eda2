package caller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/socket"
)

// DefaultHeaderTimeout is how long a caller may take to send the header of a request, unless the
// configuration sets another limit.
const DefaultHeaderTimeout = 5 * time.Second

const (
	// defaultIdleTimeout and defaultMaxHeaderBytes apply if the configuration does not set these
	// limits.
	defaultIdleTimeout    = 15 * time.Second
	defaultMaxHeaderBytes = 32 << 10
	// maxUnreadRequests is the number of read slots. A request occupies one while it is read and
	// checked; other requests wait unread in order of arrival. Without this bound, an overloaded
	// router would divide its processor among all requests, and its communication with the keepers
	// would stall: new configurations would not be applied, and its lease on API keys would lapse.
	maxUnreadRequests = 16
	// defaultUnreadTimeout is how long a request may occupy a read slot, so that a caller that
	// sends slowly does not delay others.
	defaultUnreadTimeout = 100 * time.Millisecond
	// acceptRetryDelay is the delay after accept failed, such as for lack of file descriptors.
	acceptRetryDelay = 5 * time.Millisecond
)

// A Manager accepts callers' connections and passes them to an HTTP server with the limits in
// force. Changed limits apply to new connections; open connections keep their limits. Set the
// exported fields, then call Run.
//
// Refused callers open a new connection for each retry and may leave the old one open. Without a
// bound, idle connections would use up file descriptors and memory until no caller can connect.
// When there are more than MaxConns connections, those that have been idle the longest are closed.
type Manager struct {
	Handler  http.Handler
	MaxConns int
	// Limits returns the limits for new connections.
	Limits func() fleet.CallerLimits
	// NewServer returns a server, whose limits and hooks are then set.
	NewServer func(handler http.Handler) *http.Server
	Log       hclog.Logger
	// OnClose, if set, is called before connections are closed whose requests are in progress.
	OnClose func()

	// unreadTimeout is how long a request may occupy a read slot, and freshTimeout is how long a
	// connection counts as fresh. If they are 0, the default constants apply.
	unreadTimeout, freshTimeout time.Duration
	graceEnd                    atomic.Pointer[time.Time] // set by SetGraceEnd

	mu             sync.Mutex
	limits         fleet.CallerLimits
	servers        []*http.Server
	serverListener *connListener
	conns          map[net.Conn]*connInfo
	readSlots      chan struct{} // one element per occupied read slot

	freshCount      int       // connections whose first request has not been read and checked
	freshCountedAt  time.Time // last time that freshCount was recounted
	shedConns       int       // connections that were refused without reading their request
	loggedShedConns int       // of shedConns, those that have been logged
	shedRetries     retrySchedule

	overload overloadDetector
}

// connInfo describes an open connection of a caller.
type connInfo struct {
	acceptedAt    time.Time
	fresh         bool        // its first request has not been read and checked
	idleSince     time.Time   // zero while in use
	inRequest     bool        // a request is waiting, being read or in progress
	readSlotTimer *time.Timer // releases the read slot; nil if it has none
}

// Run accepts connections until the listener closes.
func (m *Manager) Run(listener net.Listener) error {
	defer m.close()
	for {
		m.checkAcceptQueue(listener)
		conn, err := listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			// The process has too many open files, or the caller closed its connection at once.
			// Accept may succeed after a delay.
			m.evictIdle(1)
			time.Sleep(acceptRetryDelay)
			continue
		}
		if now := time.Now(); m.tooManyFresh(now) {
			shedConn(conn, m.recordShed(now))
			continue
		}
		m.addConn(conn, m.Limits(), listener.Addr())
	}
}

func (m *Manager) addConn(conn net.Conn, limits fleet.CallerLimits, addr net.Addr) {
	conn = wrapConn(conn)
	m.mu.Lock()
	if m.serverListener == nil || m.limits != limits {
		m.startServer(limits, addr)
	}
	if m.conns == nil {
		m.conns = make(map[net.Conn]*connInfo)
		m.readSlots = make(chan struct{}, maxUnreadRequests)
	}
	m.conns[conn] = &connInfo{acceptedAt: time.Now(), fresh: true}
	m.freshCount++
	excess := len(m.conns) - m.MaxConns
	serverListener := m.serverListener
	m.mu.Unlock()
	if excess > 0 {
		m.evictIdle(excess)
	}
	serverListener.conns <- conn
}

// wrapConn returns a Conn for a connection to a net/http server.
func wrapConn(conn net.Conn) net.Conn {
	tcpConn, ok := conn.(tcpConn)
	if !ok {
		return conn
	}
	callerConn := newConn(tcpConn)
	callerConn.headerTimeoutResponse, callerConn.lingersUnlessServed = headerTimeoutResponse, true
	return callerConn
}

// startServer starts an HTTP server with new limits for the connections that follow.
func (m *Manager) startServer(limits fleet.CallerLimits, addr net.Addr) {
	if m.serverListener != nil {
		_ = m.serverListener.Close() // its server keeps its open connections
	}
	server := m.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		setRequestState(ConnFromContext(r.Context()), requestServed)
		m.Handler.ServeHTTP(w, r)
	}))
	server.ReadHeaderTimeout = orDefault(limits.HeaderTimeout, DefaultHeaderTimeout)
	server.IdleTimeout = orDefault(limits.IdleTimeout, defaultIdleTimeout)
	server.MaxHeaderBytes = orDefault(limits.MaxHeaderBytes, defaultMaxHeaderBytes)
	server.ConnState = m.onStateChange
	server.ConnContext = ContextWithConn
	listener := newConnListener(addr)
	m.limits, m.serverListener = limits, listener
	m.servers = append(m.servers, server)
	go func() {
		_ = server.Serve(listener) // ends when the listener closes
		listener.closePending()
	}()
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}

// onStateChange tracks which connections are open and which are idle. For a new request, it waits
// for a read slot. This delays the request, since net/http calls it in the goroutine of the
// connection before it parses the request.
func (m *Manager) onStateChange(conn net.Conn, state http.ConnState) {
	if state == http.StateActive && !m.acquireReadSlot(conn) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	info := m.conns[conn]
	if info == nil { // it has been evicted
		if state == http.StateActive {
			<-m.readSlots
		}
		return
	}
	switch state {
	case http.StateIdle:
		info.idleSince, info.inRequest = time.Now(), false
		setRequestState(conn, noRequest)
		m.finishReading(info)
	case http.StateActive:
		setRequestState(conn, requestActive)
		info.readSlotTimer = time.AfterFunc(orDefault(m.unreadTimeout, defaultUnreadTimeout), func() { m.ReleaseReadSlot(conn) })
	case http.StateClosed, http.StateHijacked:
		m.finishReading(info)
		delete(m.conns, conn)
	default:
	}
}

// acquireReadSlot waits for a free read slot. The connection counts as in use during the wait, so
// that it is not evicted after a part of its request has been read. It returns false if it has
// already been evicted.
func (m *Manager) acquireReadSlot(conn net.Conn) bool {
	m.mu.Lock()
	info := m.conns[conn]
	if info != nil {
		info.idleSince, info.inRequest = time.Time{}, true
	}
	m.mu.Unlock()
	if info == nil {
		return false
	}
	startedAt := time.Now()
	m.readSlots <- struct{}{}
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.overload.recordWait(now, now.Sub(startedAt)) {
		m.logOverload(now, "requests")
	}
	return true
}

// checkAcceptQueue updates the overload detector with the state of the accept queue.
func (m *Manager) checkAcceptQueue(listener net.Listener) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.overload.queueCheckDue(now) && m.overload.recordQueueCheck(now, socket.HasPendingConn(listener)) {
		m.logOverload(now, "connections")
	}
}

func (m *Manager) logOverload(now time.Time, waiting string) {
	m.Log.Warn("behind: new callers are better off elsewhere", "waits", waiting,
		"connections", len(m.conns), "shed", m.shedConns, "for", m.overload.overloadedUntil.Sub(now).Milliseconds())
}

// IsOverloaded reports whether this router is overloaded, so that new callers should connect to
// other routers.
func (m *Manager) IsOverloaded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.overload.isOverloaded(time.Now())
}

// ReleaseReadSlot releases the read slot of a connection, if it has one. It is called when the
// current request has been read and checked, or when its unread timeout has expired.
func (m *Manager) ReleaseReadSlot(conn net.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if info := m.conns[conn]; info != nil {
		m.finishReading(info)
	}
}

func (m *Manager) finishReading(info *connInfo) {
	if info.fresh && info.readSlotTimer != nil {
		m.shedRetries.recordRead(time.Since(info.acceptedAt))
	}
	m.clearFresh(info)
	if info.readSlotTimer != nil {
		info.readSlotTimer.Stop()
		info.readSlotTimer = nil
		<-m.readSlots
	}
}

// evictIdle closes up to maxCount connections, those that have been idle the longest first.
func (m *Manager) evictIdle(maxCount int) {
	for range maxCount {
		conn := m.removeOldestIdle()
		if conn == nil {
			return
		}
		_ = conn.Close() // the server sees the error when it reads
	}
}

func (m *Manager) removeOldestIdle() net.Conn {
	m.mu.Lock()
	defer m.mu.Unlock()
	var oldest net.Conn
	var idleSince time.Time
	for conn, info := range m.conns {
		if !info.idleSince.IsZero() && (oldest == nil || info.idleSince.Before(idleSince)) && !hasRequestBytes(conn) {
			oldest, idleSince = conn, info.idleSince
		}
	}
	if oldest != nil {
		m.finishReading(m.conns[oldest])
		delete(m.conns, oldest)
	}
	return oldest
}

// ConnCount returns the number of open connections.
func (m *Manager) ConnCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.conns)
}

// connContextKey is the context key of the connection that a request came in on.
type connContextKey struct{}

// ContextWithConn returns the context of the requests that come in on a connection. It is the ConnContext of a
// server.
func ContextWithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, conn)
}

// HasLeft reports whether a request's caller has closed its connection. It checks the socket,
// because net/http cancels the context only once it reads from the connection. An overloaded router
// would otherwise send requests to targets after their callers have left.
func HasLeft(ctx context.Context) bool {
	conn := ConnFromContext(ctx)
	return ctx.Err() != nil || conn != nil && socket.PeerClosed(conn)
}

// ConnFromContext returns the connection that a request came in on, or nil.
func ConnFromContext(ctx context.Context) net.Conn {
	conn, _ := ctx.Value(connContextKey{}).(net.Conn)
	return conn
}
