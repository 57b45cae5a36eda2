package upstream

import (
	"context"
	"sync"
	"time"

	"laburnumfall/internal/clock"
	"laburnumfall/internal/fleet"
)

// maxIdle bounds the unused connections to one target. A target takes some
// hundred from all routers; what a router needs at once is open anyway.
const maxIdle = 32

// A Pool keeps the unused connections to targets. Set Clock before use.
type Pool struct {
	Clock clock.Clock

	mu     sync.Mutex
	idle   map[fleet.Incarnation][]*Conn
	closed bool
}

// Get returns a connection to a target, a kept one if there is any. One to a former
// start of it is never used: it leads to a process that has ended, or to nothing.
func (p *Pool) Get(ctx context.Context, target fleet.Incarnation, address string) (*Conn, error) {
	for c := p.take(target); c != nil; c = p.take(target) {
		if p.Clock.Now().Before(c.expires) && c.quiet() {
			return c, nil
		}
		_ = c.Close() // unused, so nothing is lost
	}
	return dial(ctx, address)
}

func (p *Pool) take(target fleet.Incarnation) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[target]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[target] = list[:len(list)-1]
	return c
}

// Return keeps a connection from Get that was not used.
func (p *Pool) Return(target fleet.Incarnation, c *Conn) {
	now := p.Clock.Now()
	p.put(target, c, now.Add(unusedFor))
}

// unusedFor is how long a connection is kept over which nothing was sent.
const unusedFor = time.Second

// put keeps a connection that stands at a clean boundary.
func (p *Pool) put(target fleet.Incarnation, c *Conn, until time.Time) {
	c.reused = true
	c.expires = until
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[target]) >= maxIdle {
		_ = c.Close() // unused, so nothing is lost
		return
	}
	if p.idle == nil {
		p.idle = make(map[fleet.Incarnation][]*Conn)
	}
	p.idle[target] = append(p.idle[target], c)
}

// Prune closes the connections that may not be used again, and those to targets
// that are gone.
func (p *Pool) Prune(now time.Time, known func(fleet.Incarnation) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for target, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if known(target) && now.Before(c.expires) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close() // unused, so nothing is lost
		}
		p.idle[target] = kept
		if len(kept) == 0 {
			delete(p.idle, target)
		}
	}
}

// Close closes the unused connections and keeps no more.
func (p *Pool) Close() {
	p.Prune(time.Time{}, func(fleet.Incarnation) bool { return false })
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
}
