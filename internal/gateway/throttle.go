package gateway

import (
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/throttle"
	"laburnumfall/internal/upstream"
)

// longQueueDivisor is the part of a route's aim, as a divisor, that the requests waiting at
// a plain service may take before its queue counts as long: the other half is for the
// way, and for the request itself.
const longQueueDivisor = 2

// throttle returns what bounds requests to a plain service.
func (g *Gateway) throttle(pool string) *throttle.Throttle {
	if g.throttles == nil {
		g.throttles = make(map[string]*throttle.Throttle)
	}
	t := g.throttles[pool]
	if t == nil {
		t = &throttle.Throttle{}
		g.throttles[pool] = t
	}
	return t
}

// exceedsThrottle counts a request to a plain service, and reports whether it is surplus
// that the service would refuse. Engines' work is shared by tokens instead.
func (g *Gateway) exceedsThrottle(now time.Time, q *request) bool {
	if q.route.PrefixCached {
		return false
	}
	name := q.account
	if q.route.Keyless {
		name = q.route.Name
	}
	return !g.throttle(q.pool).Allow(now, name)
}

// recordQueueLength takes from a target's answer whether it had room.
func (g *Gateway) recordQueueLength(q *request, target fleet.Incarnation, a *upstream.Answer) {
	waiting, told := g.Dialect.QueueLength(a.Header)
	unrun := g.Dialect.NotRun(a.Status, a.Header)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	long := false
	if told {
		g.placer.SetReportedQueue(now, target, waiting)
		long = q.route.LatencyObjective > 0 && g.placer.QueueTime(now, target, waiting) > q.route.LatencyObjective/longQueueDivisor
	}
	if q.route.PrefixCached || unrun && g.Dialect.AddressReused(a.Status) {
		return
	}
	g.throttle(q.pool).RecordAnswer(now, unrun || long)
}
