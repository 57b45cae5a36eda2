package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sys/unix"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/target"
)

const (
	// defaultHeaderTimeout, defaultIdleTimeout and defaultMaxHeaderBytes apply if the configuration
	// does not set these limits.
	defaultHeaderTimeout  = 5 * time.Second
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

// connManager accepts callers' connections and passes them to an HTTP server with the limits in
// force. Changed limits apply to new connections; open connections keep their limits.
//
// Refused callers open a new connection for each retry and may leave the old one open. Without a
// bound, idle connections would use up file descriptors and memory until no caller can connect.
// When there are more than maxConns connections, those that have been idle the longest are closed.
type connManager struct {
	handler   http.Handler
	maxConns  int
	newServer func(handler http.Handler) *http.Server
	log       hclog.Logger
	// unreadTimeout is how long a request may occupy a read slot, and freshTimeout is how long a
	// connection counts as fresh. If they are 0, the default constants apply.
	unreadTimeout, freshTimeout time.Duration
	// graceEnd, if set, is the end of the grace period of a shutdown. No wait lasts longer.
	graceEnd atomic.Pointer[time.Time]
	// onClose, if set, is called before connections are closed whose requests are in progress.
	onClose func()

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

	overload    overloadDetector
	shedRetries retrySchedule
}

// connInfo describes an open connection of a caller.
type connInfo struct {
	acceptedAt    time.Time
	fresh         bool        // its first request has not been read and checked
	idleSince     time.Time   // zero while in use
	inRequest     bool        // a request is waiting, being read or in progress
	readSlotTimer *time.Timer // releases the read slot; nil if it has none
}

// run accepts connections until the listener closes.
func (c *connManager) run(listener net.Listener, currentLimits func() fleet.CallerLimits) error {
	defer c.close()
	for {
		c.checkAcceptQueue(listener)
		conn, err := listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			// The process has too many open files, or the caller closed its connection at once.
			// Accept may succeed after a delay.
			c.evictIdle(1)
			time.Sleep(acceptRetryDelay)
			continue
		}
		if now := time.Now(); c.tooManyFresh(now) {
			shedConn(conn, c.recordShed(now))
			continue
		}
		c.addConn(conn, currentLimits(), listener.Addr())
	}
}

func (c *connManager) addConn(conn net.Conn, limits fleet.CallerLimits, addr net.Addr) {
	conn = trackReads(conn)
	c.mu.Lock()
	if c.serverListener == nil || c.limits != limits {
		c.startServer(limits, addr)
	}
	if c.conns == nil {
		c.conns = make(map[net.Conn]*connInfo)
		c.readSlots = make(chan struct{}, maxUnreadRequests)
	}
	c.conns[conn] = &connInfo{acceptedAt: time.Now(), fresh: true}
	c.freshCount++
	excess := len(c.conns) - c.maxConns
	serverListener := c.serverListener
	c.mu.Unlock()
	if excess > 0 {
		c.evictIdle(excess)
	}
	serverListener.conns <- conn
}

// startServer starts an HTTP server with new limits for the connections that follow.
func (c *connManager) startServer(limits fleet.CallerLimits, addr net.Addr) {
	if c.serverListener != nil {
		_ = c.serverListener.Close() // its server keeps its open connections
	}
	server := c.newServer(c.handler)
	server.ReadHeaderTimeout = orDefault(limits.HeaderTimeout, defaultHeaderTimeout)
	server.IdleTimeout = orDefault(limits.IdleTimeout, defaultIdleTimeout)
	server.MaxHeaderBytes = orDefault(limits.MaxHeaderBytes, defaultMaxHeaderBytes)
	server.ConnState = c.onStateChange
	server.ConnContext = contextWithConn
	listener := newConnListener(addr)
	c.limits, c.serverListener = limits, listener
	c.servers = append(c.servers, server)
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
func (c *connManager) onStateChange(conn net.Conn, state http.ConnState) {
	if state == http.StateActive && !c.acquireReadSlot(conn) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	info := c.conns[conn]
	if info == nil { // it has been evicted
		if state == http.StateActive {
			<-c.readSlots
		}
		return
	}
	switch state {
	case http.StateIdle:
		info.idleSince, info.inRequest = time.Now(), false
		clearRequestStarted(conn)
		c.finishReading(info)
	case http.StateActive:
		info.readSlotTimer = time.AfterFunc(orDefault(c.unreadTimeout, defaultUnreadTimeout), func() { c.releaseReadSlot(conn) })
	case http.StateClosed, http.StateHijacked:
		c.finishReading(info)
		delete(c.conns, conn)
	default:
	}
}

// acquireReadSlot waits for a free read slot. The connection counts as in use during the wait, so
// that it is not evicted after a part of its request has been read. It returns false if it has
// already been evicted.
func (c *connManager) acquireReadSlot(conn net.Conn) bool {
	c.mu.Lock()
	info := c.conns[conn]
	if info != nil {
		info.idleSince, info.inRequest = time.Time{}, true
	}
	c.mu.Unlock()
	if info == nil {
		return false
	}
	startedAt := time.Now()
	c.readSlots <- struct{}{}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.overload.recordWait(now, now.Sub(startedAt)) {
		c.logOverload(now, "requests")
	}
	return true
}

// checkAcceptQueue updates the overload detector with the state of the accept queue.
func (c *connManager) checkAcceptQueue(listener net.Listener) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.overload.queueCheckDue(now) && c.overload.recordQueueCheck(now, hasPendingConn(listener)) {
		c.logOverload(now, "connections")
	}
}

func (c *connManager) logOverload(now time.Time, waiting string) {
	c.log.Warn("behind: new callers are better off elsewhere", "waits", waiting,
		"connections", len(c.conns), "shed", c.shedConns, "for", c.overload.overloadedUntil.Sub(now).Milliseconds())
}

// hasPendingConn reports whether the listener's accept queue has a connection.
func hasPendingConn(listener net.Listener) bool {
	syscallConn, ok := listener.(syscall.Conn)
	if !ok {
		return false
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return false // the listener is being closed
	}
	readyCount := 0
	controlErr := rawConn.Control(func(fd uintptr) {
		readyCount, err = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return controlErr == nil && err == nil && readyCount > 0
}

// isOverloaded reports whether this router is overloaded, so that new callers should connect to
// other routers.
func (c *connManager) isOverloaded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.overload.isOverloaded(time.Now())
}

// releaseReadSlot releases the read slot of a connection, if it has one. It is called when the
// current request has been read and checked, or when its unread timeout has expired.
func (c *connManager) releaseReadSlot(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if info := c.conns[conn]; info != nil {
		c.finishReading(info)
	}
}

func (c *connManager) finishReading(info *connInfo) {
	if info.fresh && info.readSlotTimer != nil {
		c.shedRetries.recordRead(time.Since(info.acceptedAt))
	}
	c.clearFresh(info)
	if info.readSlotTimer != nil {
		info.readSlotTimer.Stop()
		info.readSlotTimer = nil
		<-c.readSlots
	}
}

// evictIdle closes up to maxCount connections, those that have been idle the longest first.
func (c *connManager) evictIdle(maxCount int) {
	for range maxCount {
		conn := c.removeOldestIdle()
		if conn == nil {
			return
		}
		_ = conn.Close() // the server sees the error when it reads
	}
}

func (c *connManager) removeOldestIdle() net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var oldest net.Conn
	var idleSince time.Time
	for conn, info := range c.conns {
		if !info.idleSince.IsZero() && (oldest == nil || info.idleSince.Before(idleSince)) && !hasRequestBytes(conn) {
			oldest, idleSince = conn, info.idleSince
		}
	}
	if oldest != nil {
		c.finishReading(c.conns[oldest])
		delete(c.conns, oldest)
	}
	return oldest
}

// connCount returns the number of open connections.
func (c *connManager) connCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// connContextKey is the context key of the connection that a request came in on.
type connContextKey struct{}

func contextWithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, conn)
}

// callerLeft reports whether a request's caller has closed its connection. It checks the socket,
// because net/http cancels the context only once it reads from the connection. An overloaded router
// would otherwise send requests to targets after their callers have left.
func callerLeft(ctx context.Context) bool {
	conn := connFromContext(ctx)
	return ctx.Err() != nil || conn != nil && target.PeerClosed(conn)
}

// connFromContext returns the connection that a request came in on, or nil.
func connFromContext(ctx context.Context) net.Conn {
	conn, _ := ctx.Value(connContextKey{}).(net.Conn)
	return conn
}
