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
	// defaultHeaderTimeout, idleTime and headerSize hold where a configuration states none.
	defaultHeaderTimeout  = 5 * time.Second
	defaultIdleTimeout    = 15 * time.Second
	defaultMaxHeaderBytes = 32 << 10
	// maxUnreadRequests bounds the requests that are being read or judged. A router that
	// gets more than it can work on would else divide its processor among all of
	// them, and its talk with the keepers would come to a stand: configurations
	// would not come in force, and its lease on keys would lapse. The rest wait,
	// unread, in their order.
	maxUnreadRequests = 16
	// defaultUnreadTimeout is how long a request may count as being read: a caller that
	// sends slowly must not hold others up.
	defaultUnreadTimeout = 100 * time.Millisecond
	// acceptRetryDelay is kept after an accept that failed for want of descriptors.
	acceptRetryDelay = 5 * time.Millisecond
)

// connManager takes callers' connections in and hands them to a server with the
// limits in force. Limits that change hold for new connections; those that are
// open go on under the old ones.
//
// Refused callers open a connection each time they come back, and may leave it
// open. Without a bound, idle ones use up descriptors and memory until no caller
// gets in: above the bound, those that were idle the longest are closed.
type connManager struct {
	handler   http.Handler
	maxConns  int // connections
	newServer func(handler http.Handler) *http.Server
	log       hclog.Logger
	// unreadTimeout and freshFor are how long a request counts as being read, and a connection as
	// fresh; 0 is unreadTime and freshTime.
	unreadTimeout, freshTimeout time.Duration
	// end, if set, is when the grace of a stop ends: nothing is waited for behind it.
	graceEnd atomic.Pointer[time.Time]
	// onClose, if set, is told when connections that are in use are closed.
	onClose func()

	mu        sync.Mutex
	limits    fleet.CallerLimits
	servers   []*http.Server
	listener  *connListener
	conns     map[net.Conn]*connInfo
	readSlots chan struct{} // a token for each request that is read or judged

	freshCount      int       // connections whose first request is not judged yet
	freshCountedAt  time.Time // when these were counted last
	shedConns       int       // connections refused unread
	loggedShedConns int       // of these, that a line has told of

	overload overloadDetector
}

// A caller is an open connection.
type connInfo struct {
	acceptedAt    time.Time   // when it was accepted
	fresh         bool        // its first request is not judged yet
	idleSince     time.Time   // since when; zero while in use
	inRequest     bool        // its request is being judged or carried
	readSlotTimer *time.Timer // gives its token back; nil while it holds none
}

// run accepts until the listener closes.
func (c *connManager) run(l net.Listener, limits func() fleet.CallerLimits) error {
	defer c.close()
	for {
		c.checkAcceptQueue(l)
		conn, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			// Too many descriptors, or a caller that left at once. One that can
			// not be accepted now may be soon.
			c.evictIdle(1)
			time.Sleep(acceptRetryDelay)
			continue
		}
		if now := time.Now(); c.tooManyFresh(now) {
			c.recordShed(now)
			shedConn(conn)
			continue
		}
		c.addConn(conn, limits(), l.Addr())
	}
}

func (c *connManager) addConn(conn net.Conn, limits fleet.CallerLimits, addr net.Addr) {
	conn = trackReads(conn)
	c.mu.Lock()
	if c.listener == nil || c.limits != limits {
		c.startServer(limits, addr)
	}
	if c.conns == nil {
		c.conns = make(map[net.Conn]*connInfo)
		c.readSlots = make(chan struct{}, maxUnreadRequests)
	}
	c.conns[conn] = &connInfo{acceptedAt: time.Now(), fresh: true}
	c.freshCount++
	over := len(c.conns) - c.maxConns
	f := c.listener
	c.mu.Unlock()
	if over > 0 {
		c.evictIdle(over)
	}
	f.conns <- conn
}

// startServer starts a server with new limits.
func (c *connManager) startServer(limits fleet.CallerLimits, addr net.Addr) {
	if c.listener != nil {
		_ = c.listener.Close() // ends its server's accepting, not its connections
	}
	s := c.newServer(c.handler)
	s.ReadHeaderTimeout = orDefault(limits.HeaderTimeout, defaultHeaderTimeout)
	s.IdleTimeout = orDefault(limits.IdleTimeout, defaultIdleTimeout)
	s.MaxHeaderBytes = orDefault(limits.MaxHeaderBytes, defaultMaxHeaderBytes)
	s.ConnState = c.onStateChange
	s.ConnContext = contextWithConn
	f := newConnListener(addr)
	c.limits, c.listener = limits, f
	c.servers = append(c.servers, s)
	go func() {
		_ = s.Serve(f) // ends when the feed closes
		f.closePending()
	}()
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}

// onStateChange keeps which connections are open and since when they are idle. Where a
// request begins, it waits until few enough others are being read: the library
// calls it from the connection's own goroutine before it parses.
func (c *connManager) onStateChange(conn net.Conn, s http.ConnState) {
	if s == http.StateActive && !c.acquireReadSlot(conn) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.conns[conn]
	if known == nil { // it was evicted
		if s == http.StateActive {
			<-c.readSlots
		}
		return
	}
	switch s {
	case http.StateIdle:
		known.idleSince, known.inRequest = time.Now(), false
		clearRequestStarted(conn)
		c.finishReading(known)
	case http.StateActive:
		known.readSlotTimer = time.AfterFunc(orDefault(c.unreadTimeout, defaultUnreadTimeout), func() { c.releaseReadSlot(conn) })
	case http.StateClosed, http.StateHijacked:
		c.finishReading(known)
		delete(c.conns, conn)
	default:
	}
}

// acquireReadSlot waits for a request's turn. Its connection counts as in use before that:
// a request of which a byte was read must not be evicted. It reports
// false if that was too late.
func (c *connManager) acquireReadSlot(conn net.Conn) bool {
	c.mu.Lock()
	known := c.conns[conn]
	if known != nil {
		known.idleSince, known.inRequest = time.Time{}, true
	}
	c.mu.Unlock()
	if known == nil {
		return false
	}
	from := time.Now()
	c.readSlots <- struct{}{}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.overload.recordWait(now, now.Sub(from)) {
		c.logOverload(now, "requests")
	}
	return true
}

// look notes whether connections wait to be accepted.
func (c *connManager) checkAcceptQueue(l net.Listener) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.overload.queueCheckDue(now) && c.overload.recordQueueCheck(now, hasPendingConn(l)) {
		c.logOverload(now, "connections")
	}
}

func (c *connManager) logOverload(now time.Time, waits string) {
	c.log.Warn("behind: new callers are better off elsewhere", "waits", waits,
		"connections", len(c.conns), "shed", c.shedConns, "for", c.overload.overloadedUntil.Sub(now).Milliseconds())
}

// hasPendingConn reports whether a connection waits to be accepted.
func hasPendingConn(l net.Listener) bool {
	sc, ok := l.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false // it closes
	}
	n := 0
	ctlErr := raw.Control(func(fd uintptr) {
		n, err = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return ctlErr == nil && err == nil && n > 0
}

// isOverloaded reports whether requests wait unread for so long that new callers are
// better off elsewhere.
func (c *connManager) isOverloaded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.overload.isOverloaded(time.Now())
}

// releaseReadSlot notes that the request of a connection was read and judged.
func (c *connManager) releaseReadSlot(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.conns[conn]; known != nil {
		c.finishReading(known)
	}
}

func (c *connManager) finishReading(known *connInfo) {
	c.clearFresh(known)
	if known.readSlotTimer != nil {
		known.readSlotTimer.Stop()
		known.readSlotTimer = nil
		<-c.readSlots
	}
}

// evictIdle closes connections that have been idle the longest.
func (c *connManager) evictIdle(count int) {
	for range count {
		conn := c.removeOldestIdle()
		if conn == nil {
			return
		}
		_ = conn.Close() // its server's reader sees it
	}
}

func (c *connManager) removeOldestIdle() net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var oldest net.Conn
	var since time.Time
	for conn, known := range c.conns {
		if !known.idleSince.IsZero() && (oldest == nil || known.idleSince.Before(since)) && !hasRequestBytes(conn) {
			oldest, since = conn, known.idleSince
		}
	}
	if oldest != nil {
		c.finishReading(c.conns[oldest])
		delete(c.conns, oldest)
	}
	return oldest
}

// connCount returns how many connections are open.
func (c *connManager) connCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// connContextKey is the key of a caller's connection in the context of its requests.
type connContextKey struct{}

func contextWithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, c)
}

// callerLeft reports whether a request's caller has closed its connection. The
// library tells so by the request's context, but only once it gets to read: a
// router that is behind would send a request on that nobody waits for.
func callerLeft(ctx context.Context) bool {
	c := connFromContext(ctx)
	return ctx.Err() != nil || c != nil && target.Closed(c)
}

// connFromContext returns the caller's connection of a request's context, or nil.
func connFromContext(ctx context.Context) net.Conn {
	c, _ := ctx.Value(connContextKey{}).(net.Conn)
	return c
}
