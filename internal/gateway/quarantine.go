package gateway

import (
	"net/http"
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/quarantine"
)

const (
	// permitTimeout is how long a request waits for the leader's word on it: the time of a
	// report and its answer, several times over.
	permitTimeout = 600 * time.Millisecond
	// permitPollInterval is how often the leader is asked meanwhile.
	permitPollInterval = 50 * time.Millisecond
	// minQuarantineRetryAfter is when a caller may come back whose request got no word.
	minQuarantineRetryAfter = time.Second
)

// awaitQuarantineDecision decides whether a request may be sent to a target now. One under which targets
// have ended waits for the leader's word: its next copy may take another target away from
// everybody, and the copies at other routers are not known here.
func (g *Gateway) awaitQuarantineDecision(q *request) (refusal, bool) {
	q.decision, q.interrupted = quarantine.Decision{}, false
	g.mu.Lock()
	if g.Guard.Idle() {
		g.mu.Unlock()
		return refusal{}, true
	}
	q.decision = g.Guard.Check(g.Clock.Now(), q.fingerprint())
	if q.decision.Action == quarantine.AwaitPermit {
		g.Guard.RequestPermit(q.fingerprint())
		defer g.cancelPermitRequest(q)
	}
	g.Guard.MarkSent(q.decision, q.fingerprint())
	g.mu.Unlock()
	for end := time.Now().Add(permitTimeout); q.decision.Action == quarantine.AwaitPermit && time.Now().Before(end); {
		g.awaitRestrictions(q)
		g.mu.Lock()
		q.decision = g.Guard.Check(g.Clock.Now(), q.fingerprint())
		g.Guard.MarkSent(q.decision, q.fingerprint())
		g.mu.Unlock()
	}
	if q.decision.Action == quarantine.Allow {
		return refusal{}, true
	}
	back := max(q.decision.RetryAfter, minQuarantineRetryAfter)
	return refusal{
		status: http.StatusServiceUnavailable, kind: fleet.KindQuarantined, reason: fleet.ReasonQuarantined, retryAfter: back, terminationCount: q.decision.TerminationCount, fingerprint: q.fingerprint(),
	}, false
}

// awaitRestrictions waits until the leader has told something, for rulingPoll at most.
func (g *Gateway) awaitRestrictions(q *request) {
	g.mu.Lock()
	if g.restrictionsChanged == nil {
		g.restrictionsChanged = make(chan struct{})
	}
	heard := g.restrictionsChanged
	g.pollLeader()
	g.mu.Unlock()
	timer := time.NewTimer(permitPollInterval)
	defer timer.Stop()
	select {
	case <-heard:
	case <-timer.C:
	case <-q.r.Context().Done():
		g.abortCanceled(q, nil)
	}
}

func (g *Gateway) cancelPermitRequest(q *request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Guard.CancelPermitRequest(q.fingerprint())
}

// returnPermit ends a request's permit, if it ran under one. What a cut means is told once it is
// known whether the target has ended.
func (g *Gateway) returnPermit(q *request, out attemptOutcome, unsent bool) {
	if q.decision.PermitID == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	switch {
	case q.interrupted:
		return
	case out.reason == fleet.ReasonNoConnection:
		g.Guard.ReturnUnreachable(now, q.decision, q.fingerprint())
	default:
		g.Guard.ReturnPermit(now, q.decision, q.fingerprint(), unsent)
	}
	g.pollLeader()
}

// recordCompletion notes a whole answer: its request does not end targets. A failure is none, since
// a target may make it without running the request.
func (g *Gateway) recordCompletion(q *request, status int) {
	if status >= http.StatusMultipleChoices {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.Guard.Idle() {
		g.Guard.RecordCompletion(g.Clock.Now(), q.fingerprint())
	}
}

// QuarantineReport returns what the leader is to be told of requests that end targets. It may be
// called at any time.
func (g *Gateway) QuarantineReport(now time.Time) quarantine.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Guard.Report(now)
}

// ApplyRestrictions takes the leader's answer to that, as it was at asked. It may be called at any time.
func (g *Gateway) ApplyRestrictions(now, asked time.Time, term uint64, r quarantine.RestrictionUpdate) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Guard.ApplyUpdate(now, asked, term, r)
	if g.restrictionsChanged != nil {
		close(g.restrictionsChanged)
		g.restrictionsChanged = nil
	}
}

// pollLeader has the leader asked at once.
func (g *Gateway) pollLeader() {
	select {
	case g.PollLeader <- struct{}{}:
	default: // it is about to be, or nobody asks
	}
}

// recordUnlistedTargets takes the list of targets: one that cut an exchange, did not leave, and is not
// listed any more has ended.
func (g *Gateway) recordUnlistedTargets(now time.Time, targets []fleet.Instance) {
	doubts := g.Guard.UnconfirmedTargets(now)
	if len(doubts) == 0 {
		return
	}
	listed := make(map[fleet.Incarnation]bool, len(targets))
	for _, in := range targets {
		listed[in.Incarnation] = true
	}
	for _, target := range doubts {
		if !listed[target] {
			g.Guard.RecordTermination(now, target)
			g.pollLeader()
		}
	}
}
