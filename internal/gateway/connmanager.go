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
	// headerTime, idleTime and headerSize hold where a configuration states none.
	headerTime = 5 * time.Second
	idleTime   = 15 * time.Second
	headerSize = 32 << 10
	// mostUnread bounds the requests that are being read or judged. A router that
	// gets more than it can work on would else divide its processor among all of
	// them, and its talk with the keepers would come to a stand: configurations
	// would not come in force, and its lease on keys would lapse. The rest wait,
	// unread, in their order.
	mostUnread = 16
	// unreadTime is how long a request may count as being read: a caller that
	// sends slowly must not hold others up.
	unreadTime = 100 * time.Millisecond
	// acceptPause is kept after an accept that failed for want of descriptors.
	acceptPause = 5 * time.Millisecond
)

// callers takes callers' connections in and hands them to a server with the
// limits in force. Limits that change hold for new connections; those that are
// open go on under the old ones.
//
// Refused callers open a connection each time they come back, and may leave it
// open. Without a bound, idle ones use up descriptors and memory until no caller
// gets in: above the bound, those that were idle the longest are closed.
type callers struct {
	handler http.Handler
	most    int // connections
	server  func(handler http.Handler) *http.Server
	log     hclog.Logger
	// unreadFor and freshFor are how long a request counts as being read, and a connection as
	// fresh; 0 is unreadTime and freshTime.
	unreadFor, freshFor time.Duration
	// end, if set, is when the grace of a stop ends: nothing is waited for behind it.
	end atomic.Pointer[time.Time]
	// closing, if set, is told when connections that are in use are closed.
	closing func()

	mu      sync.Mutex
	limits  fleet.CallerLimits
	servers []*http.Server
	feed    *feed
	open    map[net.Conn]*caller
	unread  chan struct{} // a token for each request that is read or judged

	fresh    int       // connections whose first request is not judged yet
	counted  time.Time // when these were counted last
	shed     int       // connections refused unread
	shedTold int       // of these, that a line has told of

	pressure pressure
}

// A caller is an open connection.
type caller struct {
	since time.Time   // when it was accepted
	fresh bool        // its first request is not judged yet
	idle  time.Time   // since when; zero while in use
	begun bool        // its request is being judged or carried
	limit *time.Timer // gives its token back; nil while it holds none
}

// run accepts until the listener closes.
func (c *callers) run(l net.Listener, limits func() fleet.CallerLimits) error {
	defer c.close()
	for {
		c.look(l)
		conn, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			// Too many descriptors, or a caller that left at once. One that can
			// not be accepted now may be soon.
			c.evictIdle(1)
			time.Sleep(acceptPause)
			continue
		}
		if now := time.Now(); c.overfull(now) {
			c.noteShed(now)
			shed(conn)
			continue
		}
		c.take(conn, limits(), l.Addr())
	}
}

func (c *callers) take(conn net.Conn, limits fleet.CallerLimits, addr net.Addr) {
	conn = watched(conn)
	c.mu.Lock()
	if c.feed == nil || c.limits != limits {
		c.serve(limits, addr)
	}
	if c.open == nil {
		c.open = make(map[net.Conn]*caller)
		c.unread = make(chan struct{}, mostUnread)
	}
	c.open[conn] = &caller{since: time.Now(), fresh: true}
	c.fresh++
	over := len(c.open) - c.most
	f := c.feed
	c.mu.Unlock()
	if over > 0 {
		c.evictIdle(over)
	}
	f.conns <- conn
}

// serve starts a server with new limits.
func (c *callers) serve(limits fleet.CallerLimits, addr net.Addr) {
	if c.feed != nil {
		_ = c.feed.Close() // ends its server's accepting, not its connections
	}
	s := c.server(c.handler)
	s.ReadHeaderTimeout = orDefault(limits.HeaderTimeout, headerTime)
	s.IdleTimeout = orDefault(limits.IdleTimeout, idleTime)
	s.MaxHeaderBytes = orDefault(limits.MaxHeaderBytes, headerSize)
	s.ConnState = c.note
	s.ConnContext = withConn
	f := newFeed(addr)
	c.limits, c.feed = limits, f
	c.servers = append(c.servers, s)
	go func() {
		_ = s.Serve(f) // ends when the feed closes
		f.drop()
	}()
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}

// note keeps which connections are open and since when they are idle. Where a
// request begins, it waits until few enough others are being read: the library
// calls it from the connection's own goroutine before it parses.
func (c *callers) note(conn net.Conn, s http.ConnState) {
	if s == http.StateActive && !c.await(conn) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.open[conn]
	if known == nil { // it was evicted
		if s == http.StateActive {
			<-c.unread
		}
		return
	}
	switch s {
	case http.StateIdle:
		known.idle, known.begun = time.Now(), false
		untouch(conn)
		c.settle(known)
	case http.StateActive:
		known.limit = time.AfterFunc(orDefault(c.unreadFor, unreadTime), func() { c.settled(conn) })
	case http.StateClosed, http.StateHijacked:
		c.settle(known)
		delete(c.open, conn)
	default:
	}
}

// await waits for a request's turn. Its connection counts as in use before that:
// a request of which a byte was read must not be evicted. It reports
// false if that was too late.
func (c *callers) await(conn net.Conn) bool {
	c.mu.Lock()
	known := c.open[conn]
	if known != nil {
		known.idle, known.begun = time.Time{}, true
	}
	c.mu.Unlock()
	if known == nil {
		return false
	}
	from := time.Now()
	c.unread <- struct{}{}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pressure.waited(now, now.Sub(from)) {
		c.logBehind(now, "requests")
	}
	return true
}

// look notes whether connections wait to be accepted.
func (c *callers) look(l net.Listener) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pressure.lookDue(now) && c.pressure.look(now, queued(l)) {
		c.logBehind(now, "connections")
	}
}

func (c *callers) logBehind(now time.Time, waits string) {
	c.log.Warn("behind: new callers are better off elsewhere", "waits", waits,
		"connections", len(c.open), "shed", c.shed, "for", c.pressure.until.Sub(now).Milliseconds())
}

// queued reports whether a connection waits to be accepted.
func queued(l net.Listener) bool {
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

// behind reports whether requests wait unread for so long that new callers are
// better off elsewhere.
func (c *callers) behind() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pressure.behind(time.Now())
}

// settled notes that the request of a connection was read and judged.
func (c *callers) settled(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.open[conn]; known != nil {
		c.settle(known)
	}
}

func (c *callers) settle(known *caller) {
	c.judged(known)
	if known.limit != nil {
		known.limit.Stop()
		known.limit = nil
		<-c.unread
	}
}

// evictIdle closes connections that have been idle the longest.
func (c *callers) evictIdle(count int) {
	for range count {
		conn := c.oldestIdle()
		if conn == nil {
			return
		}
		_ = conn.Close() // its server's reader sees it
	}
}

func (c *callers) oldestIdle() net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var oldest net.Conn
	var since time.Time
	for conn, known := range c.open {
		if !known.idle.IsZero() && (oldest == nil || known.idle.Before(since)) && !requested(conn) {
			oldest, since = conn, known.idle
		}
	}
	if oldest != nil {
		c.settle(c.open[oldest])
		delete(c.open, oldest)
	}
	return oldest
}

// count returns how many connections are open.
func (c *callers) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// connKey is the key of a caller's connection in the context of its requests.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// left reports whether a request's caller has closed its connection. The
// library tells so by the request's context, but only once it gets to read: a
// router that is behind would send a request on that nobody waits for.
func left(ctx context.Context) bool {
	c := connOf(ctx)
	return ctx.Err() != nil || c != nil && target.Closed(c)
}

// connOf returns the caller's connection of a request's context, or nil.
func connOf(ctx context.Context) net.Conn {
	c, _ := ctx.Value(connKey{}).(net.Conn)
	return c
}
