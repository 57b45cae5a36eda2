package gateway

import "time"

const (
	// behindAfter is how long a request may wait unread before its router counts
	// as behind: a quarter of the second after which callers give an unread request
	// up.
	behindAfter = 250 * time.Millisecond
	// relief is for how long a router that is behind takes no new callers. The
	// balancer asks each second and believes the second miss; the rest is for what
	// is open already to be answered.
	relief = 3 * time.Second
	// lookPeriod is how often the queue of new connections is looked at, and
	// looksApart how far apart two looks may be that count as one stretch.
	lookPeriod = 50 * time.Millisecond
	looksApart = 4 * lookPeriod
	// mostRelief bounds it where the load comes back each time.
	mostRelief = 4 * relief
)

// A pressure tells whether a router is behind with its callers.
//
// Callers are spread by who they are: one large account may come in through one
// router of many, and ask for more than its processor can even refuse. Requests
// then wait unread until their callers have left, and everything that the router
// still does is for nobody, while the routers beside it idle. A router that is
// behind tells the balancer not to send it new callers and announces the close of
// open connections, so that they come back through others.
type pressure struct {
	until time.Time // when new callers are taken again
	last  time.Time // until when the relief after next counts as a return
	turns int       // reliefs one shortly after the other

	looked time.Time // when the queue of new connections was looked at last
	queue  time.Time // since when it was never seen empty
}

// lookDue reports whether the queue of new connections is to be looked at.
func (p *pressure) lookDue(now time.Time) bool {
	return now.Sub(p.looked) >= lookPeriod
}

// look notes whether new connections wait to be accepted. It reports whether the
// router has got behind by that. Where the queue is never empty, each connection
// in it is as old as the queue takes, and its caller mostly gone.
func (p *pressure) look(now time.Time, waiting bool) bool {
	apart := now.Sub(p.looked) > looksApart
	p.looked = now
	if !waiting || apart {
		p.queue = now
	}
	return p.waited(now, now.Sub(p.queue))
}

// waited notes how long a request waited unread. It reports whether the router
// has got behind by that.
func (p *pressure) waited(now time.Time, wait time.Duration) bool {
	if wait < behindAfter || now.Before(p.until) {
		return false
	}
	if now.After(p.last) {
		p.turns = 0
	}
	length := min(relief<<min(p.turns, 4), mostRelief)
	p.turns++
	p.until = now.Add(length)
	p.last = p.until.Add(length)
	return true
}

// behind reports whether new callers are better off elsewhere.
func (p *pressure) behind(now time.Time) bool {
	return now.Before(p.until)
}
