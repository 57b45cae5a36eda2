package gateway

import (
	"net/http"
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/quarantine"
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
	req.decision, req.interrupted = quarantine.Decision{}, false
	g.mu.Lock()
	if g.Guard.Idle() {
		g.mu.Unlock()
		return refusal{}, true
	}
	req.decision = g.Guard.Check(g.Clock.Now(), req.fingerprint())
	if req.decision.Action == quarantine.AwaitPermit {
		g.Guard.RequestPermit(req.fingerprint())
		defer g.cancelPermitRequest(req)
	}
	g.Guard.MarkSent(req.decision, req.fingerprint())
	g.mu.Unlock()
	for deadline := time.Now().Add(permitTimeout); req.decision.Action == quarantine.AwaitPermit && time.Now().Before(deadline); {
		g.awaitRestrictions(req)
		g.mu.Lock()
		req.decision = g.Guard.Check(g.Clock.Now(), req.fingerprint())
		g.Guard.MarkSent(req.decision, req.fingerprint())
		g.mu.Unlock()
	}
	if req.decision.Action == quarantine.Allow {
		return refusal{}, true
	}
	retryAfter := max(req.decision.RetryAfter, minQuarantineRetryAfter)
	return refusal{
		status: http.StatusServiceUnavailable, kind: fleet.KindQuarantined, reason: fleet.ReasonQuarantined, retryAfter: retryAfter, terminationCount: req.decision.TerminationCount, fingerprint: req.fingerprint(),
	}, false
}

// awaitRestrictions waits until the leader's restrictions arrive, but at most for
// permitPollInterval.
func (g *Gateway) awaitRestrictions(req *request) {
	g.mu.Lock()
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

func (g *Gateway) cancelPermitRequest(req *request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Guard.CancelPermitRequest(req.fingerprint())
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
		g.Guard.ReturnUnreachable(now, req.decision, req.fingerprint())
	default:
		g.Guard.ReturnPermit(now, req.decision, req.fingerprint(), unsent)
	}
	g.pollLeader()
}

// recordCompletion records a complete response, which shows that the request does not end targets.
// An error response shows nothing, since the target may send it without running the request.
func (g *Gateway) recordCompletion(req *request, status int) {
	if status >= http.StatusMultipleChoices {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.Guard.Idle() {
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
