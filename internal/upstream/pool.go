package upstream

import (
	"context"
	"sync"
	"time"

	"laburnumfall/internal/clock"
)

// maxIdle bounds the unused connections to one target. A target takes some
// hundred from all routers; what a router needs at once is open anyway.
const maxIdle = 32

// A Pool keeps the unused connections to targets. Set Clock before use.
type Pool struct {
	Clock clock.Clock

	mu     sync.Mutex
	idle   map[string][]*Conn // by the target's ID
	closed bool
}

// Get returns a connection to a target, a kept one if there is any.
func (p *Pool) Get(ctx context.Context, id, address string) (*Conn, error) {
	for c := p.take(id); c != nil; c = p.take(id) {
		if p.Clock.Now().Before(c.expires) && c.quiet() {
			return c, nil
		}
		_ = c.Close() // unused, so nothing is lost
	}
	return dial(ctx, address)
}

func (p *Pool) take(id string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[id]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[id] = list[:len(list)-1]
	return c
}

// put keeps a connection that stands at a clean boundary.
func (p *Pool) put(id string, c *Conn, until time.Time) {
	c.reused = true
	c.expires = until
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[id]) >= maxIdle {
		_ = c.Close() // unused, so nothing is lost
		return
	}
	if p.idle == nil {
		p.idle = make(map[string][]*Conn)
	}
	p.idle[id] = append(p.idle[id], c)
}

// Sweep closes the connections that may not be used again, and those to targets
// that are gone.
func (p *Pool) Sweep(now time.Time, known func(id string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if known(id) && now.Before(c.expires) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close() // unused, so nothing is lost
		}
		p.idle[id] = kept
		if len(kept) == 0 {
			delete(p.idle, id)
		}
	}
}

// Close closes the unused connections and keeps no more.
func (p *Pool) Close() {
	p.Sweep(time.Time{}, func(string) bool { return false })
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
}
