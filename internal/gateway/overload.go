package gateway

import "time"

const (
	// overloadThreshold is how long a request may wait unread before its router counts
	// as behind: a quarter of the second after which callers give an unread request
	// up.
	overloadThreshold = 250 * time.Millisecond
	// minOverloadPeriod is for how long a router that is behind takes no new callers. The
	// balancer asks each second and believes the second miss; the rest is for what
	// is open already to be answered.
	minOverloadPeriod = 3 * time.Second
	// queueCheckInterval is how often the queue of new connections is looked at, and
	// looksApart how far apart two looks may be that count as one stretch.
	queueCheckInterval = 50 * time.Millisecond
	maxQueueCheckGap   = 4 * queueCheckInterval
	// maxOverloadPeriod bounds it where the load comes back each time.
	maxOverloadPeriod = 4 * minOverloadPeriod
)

// A pressure tells whether a router is behind with its callers.
//
// Callers are spread by who they are: one large account may come in through one
// router of many, and ask for more than its processor can even refuse. Requests
// then wait unread until their callers have left, and everything that the router
// still does is for nobody, while the routers beside it idle. A router that is
// behind tells the balancer not to send it new callers and announces the close of
// open connections, so that they come back through others.
type overloadDetector struct {
	overloadedUntil time.Time // when new callers are taken again
	repeatUntil     time.Time // until when the relief after next counts as a return
	repeats         int       // reliefs one shortly after the other

	queueCheckedAt     time.Time // when the queue of new connections was looked at last
	queueNonEmptySince time.Time // since when it was never seen empty
}

// queueCheckDue reports whether the queue of new connections is to be looked at.
func (p *overloadDetector) queueCheckDue(now time.Time) bool {
	return now.Sub(p.queueCheckedAt) >= queueCheckInterval
}

// recordQueueCheck notes whether new connections wait to be accepted. It reports whether the
// router has got behind by that. Where the queue is never empty, each connection
// in it is as old as the queue takes, and its caller mostly gone.
func (p *overloadDetector) recordQueueCheck(now time.Time, waiting bool) bool {
	apart := now.Sub(p.queueCheckedAt) > maxQueueCheckGap
	p.queueCheckedAt = now
	if !waiting || apart {
		p.queueNonEmptySince = now
	}
	return p.recordWait(now, now.Sub(p.queueNonEmptySince))
}

// recordWait notes how long a request waited unread. It reports whether the router
// has got behind by that.
func (p *overloadDetector) recordWait(now time.Time, wait time.Duration) bool {
	if wait < overloadThreshold || now.Before(p.overloadedUntil) {
		return false
	}
	if now.After(p.repeatUntil) {
		p.repeats = 0
	}
	length := min(minOverloadPeriod<<min(p.repeats, 4), maxOverloadPeriod)
	p.repeats++
	p.overloadedUntil = now.Add(length)
	p.repeatUntil = p.overloadedUntil.Add(length)
	return true
}

// isOverloaded reports whether new callers are better off elsewhere.
func (p *overloadDetector) isOverloaded(now time.Time) bool {
	return now.Before(p.overloadedUntil)
}
