package gateway

import (
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/throttle"
	"laburnumfall/internal/upstream"
)

// longQueueDivisor is the fraction of a route's latency objective that requests queued at a target
// without engines may take before its queue counts as long. The rest of the time is for the network
// and for the request itself.
const longQueueDivisor = 2

// throttle returns the throttle of a pool without engines.
func (g *Gateway) throttle(pool string) *throttle.Throttle {
	if g.throttles == nil {
		g.throttles = make(map[string]*throttle.Throttle)
	}
	serviceThrottle := g.throttles[pool]
	if serviceThrottle == nil {
		serviceThrottle = &throttle.Throttle{}
		g.throttles[pool] = serviceThrottle
	}
	return serviceThrottle
}

// exceedsThrottle counts a request to a pool without engines, and reports whether the pool would
// probably refuse it for lack of capacity. Requests to engines are not throttled; their capacity is
// shared by tokens.
func (g *Gateway) exceedsThrottle(now time.Time, req *request) bool {
	if req.route.PrefixCached {
		return false
	}
	flow := req.account
	if req.route.Keyless {
		flow = req.route.Name
	}
	return !g.throttle(req.pool).Allow(now, flow)
}

// recordTargetLoad records from a response whether the target had spare capacity.
func (g *Gateway) recordTargetLoad(req *request, target fleet.Incarnation, response *upstream.Response) {
	load, reported := g.Dialect.TargetLoad(response.Header)
	notRun := g.Dialect.NotRun(response.Status, response.Header)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	queueIsLong := false
	if reported {
		g.placer.RecordLoad(now, target, load)
		req.slowdown = load.Slowdown
		queueIsLong = req.route.LatencyObjective > 0 && g.placer.QueueTime(now, target, load.Waiting) > req.route.LatencyObjective/longQueueDivisor
	}
	if req.route.PrefixCached || notRun && g.Dialect.AddressReused(response.Status) {
		return
	}
	g.throttle(req.pool).RecordAnswer(now, notRun || queueIsLong)
}
