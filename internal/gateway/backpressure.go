package gateway

import (
	"time"

	"laburnumfall/internal/backpressure"
	"laburnumfall/internal/placement"
	"laburnumfall/internal/upstream"
)

func (g *Gateway) backpressure() *backpressure.Tracker {
	if g.Backpressure != nil {
		return g.Backpressure
	}
	return &g.ownBackpressure
}

// recordSignal records what a response says about further requests to its target.
func (g *Gateway) recordSignal(req *request, choice *placement.Choice, response *upstream.Response) {
	if g.Dialect.AddressReused(response.Status) {
		return // it is the response of another target
	}
	req.signal = g.Dialect.Backpressure(response.Status, response.Header)
	g.Metrics.countSignal(req.signal)
	now := g.Clock.Now()
	if g.backpressure().Record(now, choice.Target, req.signal.WithDrift()) {
		g.refreshSignals(now)
		g.Log.Info("backpressure", "target", choice.Target.ID, "born", choice.Target.StartMillis, "request", req.id,
			"status", response.Status, "backoff", req.signal.Backoff.Milliseconds(), "leaving", req.signal.Leaving)
	}
}

// refreshSignals makes the placer apply signals at once, so that the end of a target that has just said
// that it leaves does not count against the request that it runs.
func (g *Gateway) refreshSignals(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.placer.RefreshSignals(now)
}
