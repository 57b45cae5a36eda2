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

// suspects returns the fingerprints of all that the request has in common with others.
func (req *request) suspects() []quarantine.Fingerprint {
	return append([]quarantine.Fingerprint{req.fingerprint()}, req.partFingerprints()...)
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
	g.recordPossibleTermination(req, choice, started, false)
}

// recordPossibleTermination records that a response has ended as it does when the target terminates, and
// finds out whether it has. g.mu must be held.
func (g *Gateway) recordPossibleTermination(req *request, choice *placement.Choice, started time.Time, unframed bool) {
	if !g.placer.Accepts(choice.Target.Incarnation) {
		return // the target is leaving and was expected to end
	}
	suspects := req.suspects()
	if req.partsCompleted {
		suspects = suspects[:1]
	}
	unconfirmed := false
	for _, suspect := range suspects {
		execution := quarantine.Execution{
			Fingerprint: suspect, Account: req.account, Destination: req.route.Name, Pool: req.pool, Target: choice.Target.Incarnation, SentAt: started, Unframed: unframed,
		}
		if suspect == req.decision.Suspect {
			execution.PermitID, req.interrupted = req.decision.PermitID, true
		}
		unconfirmed = g.Guard.RecordInterruption(g.Clock.Now(), execution) || unconfirmed
	}
	if !unconfirmed {
		g.pollLeader()
		return
	}
	g.probe(choice.Target)
}

// recordEvents records that events have arrived. Once the target has written for long enough, no part of
// the prompt ends targets.
func (g *Gateway) recordEvents(req *request, firstEventAt time.Time) {
	if !req.partsCompleted && g.Clock.Now().Sub(firstEventAt) >= quarantine.MinPartRunTime {
		g.recordPartsCompletion(req)
	}
}

// recordPartsCompletion records that a target has run the parts of the prompt without ending.
func (g *Gateway) recordPartsCompletion(req *request) {
	req.partsCompleted = true
	parts := req.partFingerprints()
	if len(parts) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, part := range parts {
		g.Guard.RecordCompletion(g.Clock.Now(), part)
	}
}
