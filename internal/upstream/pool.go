package upstream

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"laburnumfall/internal/clock"
	"laburnumfall/internal/fleet"
)

// maxIdlePerTarget limits the idle connections to one target. A target accepts some hundred
// connections from all routers, and connections in use do not count.
const maxIdlePerTarget = 32

// A Pool holds the idle connections to targets. Set Clock before use.
type Pool struct {
	Clock clock.Clock

	opened atomic.Uint64 // connections
	mu     sync.Mutex
	idle   map[fleet.Incarnation][]*Conn
	closed bool
}

// Get returns a connection to a target for the next send of a request, an idle one if there is any. A
// connection to an earlier incarnation of the target is never used, because that process has ended, and
// neither is one that may bring a late copy of the response to an earlier send.
func (p *Pool) Get(ctx context.Context, target fleet.Incarnation, address string, sends *Sends) (*Conn, error) {
	for conn := p.takeIdle(target, sends); conn != nil; conn = p.takeIdle(target, sends) {
		if p.Clock.Now().Before(conn.expiresAt) && conn.isIdle() {
			return conn, nil
		}
		_ = conn.Close() // unused, so no request is lost
	}
	conn, err := dial(ctx, address)
	if err == nil {
		p.opened.Add(1)
	}
	return conn, err
}

// OpenedCount returns how many connections have been opened.
func (p *Pool) OpenedCount() uint64 {
	return p.opened.Load()
}

// takeIdle takes the connection that was used last of those that suit the next send of a request.
func (p *Pool) takeIdle(target fleet.Incarnation, sends *Sends) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[target]
	for i := len(conns) - 1; i >= 0; i-- {
		if conn := conns[i]; !sends.mayConfuse(conn) {
			p.idle[target] = slices.Delete(conns, i, i+1)
			return conn
		}
	}
	return nil
}

// Return puts back a connection from Get that was not used.
func (p *Pool) Return(target fleet.Incarnation, conn *Conn) {
	now := p.Clock.Now()
	p.putIdle(target, conn, now.Add(unusedTimeout))
}

// unusedTimeout is how long a connection over which nothing was sent stays in the pool.
const unusedTimeout = time.Second

// putIdle adds a connection at a clean message boundary to the pool.
func (p *Pool) putIdle(target fleet.Incarnation, conn *Conn, expiresAt time.Time) {
	conn.reused = true
	conn.expiresAt = expiresAt
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[target]) >= maxIdlePerTarget {
		_ = conn.Close() // unused, so no request is lost
		return
	}
	if p.idle == nil {
		p.idle = make(map[fleet.Incarnation][]*Conn)
	}
	p.idle[target] = append(p.idle[target], conn)
}

// Prune closes the idle connections that have expired and those to unknown targets.
func (p *Pool) Prune(now time.Time, isKnown func(fleet.Incarnation) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for target, conns := range p.idle {
		kept := conns[:0]
		for _, conn := range conns {
			if isKnown(target) && now.Before(conn.expiresAt) {
				kept = append(kept, conn)
				continue
			}
			_ = conn.Close() // unused, so no request is lost
		}
		p.idle[target] = kept
		if len(kept) == 0 {
			delete(p.idle, target)
		}
	}
}

// Close closes the idle connections. Connections put back later are closed at once.
func (p *Pool) Close() {
	p.Prune(time.Time{}, func(fleet.Incarnation) bool { return false })
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
}
