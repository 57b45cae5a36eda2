package gateway

import (
	"fmt"
	"net/http"
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/placement"
	"laburnumfall/internal/quarantine"
	"laburnumfall/internal/upstream"
)

const (
	// permitTimeout is how long a request waits for the leader's decision: several times as long as
	// a report to the leader and its response take.
	permitTimeout = 600 * time.Millisecond
	// permitPollInterval is the interval between reports to the leader during that wait.
	permitPollInterval = 50 * time.Millisecond
	// minQuarantineRetryAfter is the earliest time for a caller to retry a request that was
	// quarantined or got no permit.
	minQuarantineRetryAfter = time.Second
)

// awaitQuarantineDecision decides whether a request may be sent to a target now. If targets have
// ended while they ran such a request, it waits for a permit of the leader: one more run could end
// another target, and this router does not know which copies other routers are running.
func (g *Gateway) awaitQuarantineDecision(req *request) (refusal, bool) {
	req.decision, req.interrupted, req.partsCompleted = quarantine.Decision{}, false, false
	g.mu.Lock()
	idle := g.Guard.Idle()
	g.mu.Unlock()
	if idle {
		return refusal{}, true
	}
	suspects := req.suspects()
	g.decide(req, suspects)
	for deadline := time.Now().Add(permitTimeout); req.decision.Action == quarantine.AwaitPermit && time.Now().Before(deadline); {
		g.awaitRestrictions(req)
		g.decide(req, suspects)
	}
	if req.decision.Action == quarantine.Allow {
		return refusal{}, true
	}
	refused := refusal{
		status: http.StatusServiceUnavailable, kind: fleet.KindQuarantined, reason: fleet.ReasonQuarantined, retryAfter: max(req.decision.RetryAfter, minQuarantineRetryAfter),
		terminationCount: req.decision.TerminationCount, fingerprint: req.decision.Suspect,
	}
	if req.decision.Suspect.IsPart() {
		refused.reason = fleet.ReasonPartQuarantined
		refused.remedy = fmt.Sprintf("come back after Retry-After, or leave out the part of the prompt that operators list as %s", req.decision.Suspect)
	}
	return refused, false
}

// decide decides by all that a request has in common with others.
func (g *Gateway) decide(req *request, suspects []quarantine.Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	req.decision = g.Guard.Decide(g.Clock.Now(), suspects)
	g.Guard.MarkSent(req.decision, req.decision.Suspect)
}

// awaitRestrictions requests a permit and waits until the leader's restrictions arrive, but at most for
// permitPollInterval.
func (g *Gateway) awaitRestrictions(req *request) {
	g.mu.Lock()
	g.Guard.RequestPermit(req.decision.Suspect)
	defer g.cancelPermitRequest(req.decision.Suspect)
	if g.restrictionsChanged == nil {
		g.restrictionsChanged = make(chan struct{})
	}
	changed := g.restrictionsChanged
	g.pollLeader()
	g.mu.Unlock()
	timer := time.NewTimer(permitPollInterval)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-req.r.Context().Done():
		g.abortCanceled(req, nil)
	}
}

func (g *Gateway) cancelPermitRequest(suspect quarantine.Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Guard.CancelPermitRequest(suspect)
}

// returnPermit returns the permit that a request ran under, if any. After an interruption the
// permit is kept until it is known whether the target has ended.
func (g *Gateway) returnPermit(req *request, outcome attemptOutcome, unsent bool) {
	unreachable := outcome.reason == fleet.ReasonNoConnection
	if req.decision.PermitID == 0 && !unreachable {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	if unreachable {
		g.Guard.RecordUnreachable(now, req.triedTargets[len(req.triedTargets)-1].ID)
	}
	switch {
	case req.decision.PermitID == 0:
		return
	case req.interrupted:
		return
	case unreachable:
		g.Guard.ReturnUnreachable(now, req.decision, req.decision.Suspect)
	default:
		g.Guard.ReturnPermit(now, req.decision, req.decision.Suspect, unsent)
	}
	g.pollLeader()
}

// recordCompletion records a complete response, which shows that the request does not end targets.
// An error response shows nothing, since the target may send it without running the request. A
// response that ended with its connection counts only if the target still runs.
func (g *Gateway) recordCompletion(req *request, choice *placement.Choice, started time.Time, response *upstream.Response) {
	if response.Status >= http.StatusMultipleChoices {
		return
	}
	unframed := response.Framing() == fleet.FramingClose
	if !unframed {
		g.recordPartsCompletion(req)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.Guard.Idle():
	case unframed:
		g.recordPossibleTermination(req, choice, started, true)
	default:
		g.Guard.RecordCompletion(g.Clock.Now(), req.fingerprint())
	}
}

// QuarantineReport returns the report to the leader about requests that targets ended under. It may
// be called at any time.
func (g *Gateway) QuarantineReport(now time.Time) quarantine.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Guard.Report(now)
}

// ApplyRestrictions applies the leader's response to the report that was made at reportedAt. It may
// be called at any time.
func (g *Gateway) ApplyRestrictions(now, reportedAt time.Time, term uint64, update quarantine.RestrictionUpdate) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Guard.ApplyUpdate(now, reportedAt, term, update)
	if g.restrictionsChanged != nil {
		close(g.restrictionsChanged)
		g.restrictionsChanged = nil
	}
}

// pollLeader makes the router contact the leader at once.
func (g *Gateway) pollLeader() {
	select {
	case g.PollLeader <- struct{}{}:
	default: // a poll is already pending, or PollLeader is not set
	}
}

// recordUnlistedTargets records the termination of targets that interrupted an exchange, were not
// leaving, and are no longer listed.
func (g *Gateway) recordUnlistedTargets(now time.Time, targets []fleet.Instance) {
	unconfirmed := g.Guard.UnconfirmedTargets(now)
	if len(unconfirmed) == 0 {
		return
	}
	listed := make(map[fleet.Incarnation]bool, len(targets))
	for _, instance := range targets {
		listed[instance.Incarnation] = true
	}
	for _, target := range unconfirmed {
		if !listed[target] {
			g.Guard.RecordTermination(now, target)
			g.pollLeader()
		}
	}
}
