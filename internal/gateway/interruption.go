package gateway

import (
	"time"

	"laburnumfall/internal/placement"
	"laburnumfall/internal/quarantine"
	"laburnumfall/internal/target"
)

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
