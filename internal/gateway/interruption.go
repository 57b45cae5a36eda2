package gateway

import (
	"time"

	"laburnumfall/internal/placement"
	"laburnumfall/internal/quarantine"
	"laburnumfall/internal/target"
)

// fingerprint returns the fingerprint of a request. It is computed on first use, since most
// requests need none.
func (req *request) fingerprint() quarantine.Fingerprint {
	if req.cachedFingerprint == "" {
		req.cachedFingerprint = quarantine.FingerprintInput{
			Account: req.account, Method: req.r.Method, Destination: req.r.Host + req.r.RequestURI, Body: req.body,
		}.Fingerprint()
	}
	return req.cachedFingerprint
}

// maxPartFingerprints bounds the parts of one prompt that the quarantine distinguishes.
const maxPartFingerprints = 16

// partFingerprints returns the fingerprints of the parts of the prompt that other requests may share.
func (req *request) partFingerprints() []quarantine.Fingerprint {
	if len(req.promptParts) <= 1 || req.cachedParts != nil {
		return req.cachedParts
	}
	for _, part := range req.promptParts[:min(len(req.promptParts)-1, maxPartFingerprints)] {
		req.cachedParts = append(req.cachedParts, quarantine.PartFingerprint(req.pool, part.ID))
	}
	return req.cachedParts
}

// recordInterruption records that a target closed the connection before the end of its response. If
// the target has ended, the request may have caused it.
func (g *Gateway) recordInterruption(req *request, choice *placement.Choice, started time.Time, err error) {
	if !target.IsConnClosed(err) {
		return
	}
	g.Log.Warn("cut by the target", "request", req.id, "account", req.account, "route", req.route.Name, "print", req.fingerprint(), "parts", req.partFingerprints(),
		"target", choice.Target.ID, "born", choice.Target.StartMillis, "error", err)
	g.Metrics.interruptions.Inc()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.placer.Accepts(choice.Target.Incarnation) {
		return // the target is leaving and was expected to end
	}
	req.interrupted = true
	unconfirmed := g.Guard.RecordInterruption(g.Clock.Now(), quarantine.Execution{
		Fingerprint: req.fingerprint(), Account: req.account, Destination: req.route.Name, Pool: req.pool, Target: choice.Target.Incarnation, SentAt: started, PermitID: req.decision.PermitID,
	})
	if !unconfirmed {
		g.pollLeader()
		return
	}
	g.probe(choice.Target)
}
