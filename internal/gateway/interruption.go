package gateway

import (
	"time"

	"laburnumfall/internal/placement"
	"laburnumfall/internal/quarantine"
	"laburnumfall/internal/target"
)

// fingerprint returns the fingerprint of a request. It is made only where it is asked for.
func (q *request) fingerprint() quarantine.Fingerprint {
	if q.cachedFingerprint == "" {
		q.cachedFingerprint = quarantine.FingerprintInput{
			Account: q.account, Method: q.r.Method, Destination: q.r.Host + q.r.RequestURI, Body: q.body,
		}.Fingerprint()
	}
	return q.cachedFingerprint
}

// recordInterruption takes note of an exchange that a target cut. If the target ended under it, the
// request may have been why.
func (g *Gateway) recordInterruption(q *request, c *placement.Choice, started time.Time, err error) {
	if !target.Cut(err) {
		return
	}
	g.Log.Warn("cut by the target", "request", q.id, "account", q.account, "route", q.route.Name, "print", q.fingerprint(),
		"target", c.Target.ID, "born", c.Target.StartMillis, "error", err)
	g.Metrics.interruptions.Inc()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.placer.Accepts(c.Target.Incarnation) {
		return // it leaves, and was expected to end
	}
	q.interrupted = true
	doubt := g.Guard.RecordInterruption(g.Clock.Now(), quarantine.Execution{
		Fingerprint: q.fingerprint(), Account: q.account, Destination: q.route.Name, Pool: q.pool, Target: c.Target.Incarnation, SentAt: started, PermitID: q.decision.PermitID,
	})
	if !doubt {
		g.pollLeader()
		return
	}
	g.probe(c.Target)
}
