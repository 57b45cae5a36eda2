package waitlist

import "time"

const (
	// maxClaims bounds the claims that a holder keeps. Claims end within some seconds.
	maxClaims = 1 << 14
	// maxAhead bounds how far ahead a place may be, whatever another router states.
	maxAhead = 10 * time.Second
	// lateMemory is how long a claim that nobody took is remembered to tell late callers from others.
	lateMemory = 2 * time.Second
	// sweepInterval is the time between two searches for claims that have ended.
	sweepInterval = time.Second
)

// An Asker identifies one question of one router. A question may arrive more than once.
type Asker struct {
	Address string
	Seq     uint64
}

// Claims are the places that a router holds. The zero value is ready for use.
type Claims struct {
	byKey   map[string]*claim
	sweptAt time.Time
}

// A claim is one place.
type claim struct {
	at       time.Time
	issuedAt time.Time
	issued   Asker // for whom it was recorded
	used     bool
	usedBy   Asker
}

func (c *claim) closesAt() time.Time {
	return c.at.Add(LateSlack)
}

// Present answers a router that is about to refuse a request. If the request has a place whose time has
// come, it takes it; a place can be taken once. If it has none, it gets one after the offered time,
// unless that is 0.
func (c *Claims) Present(now time.Time, key string, asker Asker, offered time.Duration) Answer {
	c.sweep(now)
	late := false
	if kept := c.byKey[key]; kept != nil {
		if !now.After(kept.closesAt()) {
			return kept.present(now, asker)
		}
		late = !kept.used
		delete(c.byKey, key)
	}
	if offered <= 0 || offered > maxAhead || len(c.byKey) >= maxClaims {
		return Answer{State: None, Late: late}
	}
	if c.byKey == nil {
		c.byKey = make(map[string]*claim)
	}
	c.byKey[key] = &claim{at: now.Add(offered), issuedAt: now, issued: asker}
	return Answer{State: Told, In: offered, Late: late}
}

// present answers for a claim that is not too late.
func (c *claim) present(now time.Time, asker Asker) Answer {
	switch {
	case c.used && c.usedBy == asker:
		return Answer{State: Honored, Waited: now.Sub(c.issuedAt)}
	case c.used:
		return Answer{State: Used, In: c.closesAt().Sub(now) + time.Millisecond}
	case c.issued == asker:
		return Answer{State: Told, In: max(c.at.Sub(now), 0)}
	case now.Before(c.at.Add(-EarlySlack)):
		return Answer{State: Early, In: c.at.Sub(now)}
	}
	c.used, c.usedBy = true, asker
	return Answer{State: Honored, Waited: now.Sub(c.issuedAt)}
}

func (c *Claims) sweep(now time.Time) {
	if now.Sub(c.sweptAt) < sweepInterval {
		return
	}
	c.sweptAt = now
	for key, kept := range c.byKey {
		if now.Sub(kept.closesAt()) > lateMemory {
			delete(c.byKey, key)
		}
	}
}
