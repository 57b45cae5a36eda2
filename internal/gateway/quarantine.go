package gateway

import (
	"net/http"
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/quarantine"
)

const (
	// rulingTime is how long a request waits for the leader's word on it: the time of a
	// report and its answer, several times over.
	rulingTime = 600 * time.Millisecond
	// rulingPoll is how often the leader is asked meanwhile.
	rulingPoll = 50 * time.Millisecond
	// rulingBack is when a caller may come back whose request got no word.
	rulingBack = time.Second
)

// holdBack decides whether a request may be sent to a target now. One under which targets
// have ended waits for the leader's word: its next copy may take another target away from
// everybody, and the copies at other routers are not known here.
func (g *Gateway) holdBack(q *request) (refusal, bool) {
	q.verdict, q.cut = quarantine.Decision{}, false
	g.mu.Lock()
	if g.Guard.Idle() {
		g.mu.Unlock()
		return refusal{}, true
	}
	q.verdict = g.Guard.Check(g.Clock.Now(), q.print())
	if q.verdict.Action == quarantine.AwaitPermit {
		g.Guard.RequestPermit(q.print())
		defer g.unask(q)
	}
	g.Guard.MarkSent(q.verdict, q.print())
	g.mu.Unlock()
	for end := time.Now().Add(rulingTime); q.verdict.Action == quarantine.AwaitPermit && time.Now().Before(end); {
		g.awaitRuling(q)
		g.mu.Lock()
		q.verdict = g.Guard.Check(g.Clock.Now(), q.print())
		g.Guard.MarkSent(q.verdict, q.print())
		g.mu.Unlock()
	}
	if q.verdict.Action == quarantine.Allow {
		return refusal{}, true
	}
	back := max(q.verdict.RetryAfter, rulingBack)
	return refusal{
		status: http.StatusServiceUnavailable, kind: fleet.KindQuarantined, reason: fleet.ReasonQuarantined, back: back, ends: q.verdict.TerminationCount, print: q.print(),
	}, false
}

// awaitRuling waits until the leader has told something, for rulingPoll at most.
func (g *Gateway) awaitRuling(q *request) {
	g.mu.Lock()
	if g.ruled == nil {
		g.ruled = make(chan struct{})
	}
	heard := g.ruled
	g.wake()
	g.mu.Unlock()
	timer := time.NewTimer(rulingPoll)
	defer timer.Stop()
	select {
	case <-heard:
	case <-timer.C:
	case <-q.r.Context().Done():
		g.leave(q, nil)
	}
}

func (g *Gateway) unask(q *request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Guard.CancelPermitRequest(q.print())
}

// giveBack ends a request's permit, if it ran under one. What a cut means is told once it is
// known whether the target has ended.
func (g *Gateway) giveBack(q *request, out outcome, unsent bool) {
	if q.verdict.PermitID == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	switch {
	case q.cut:
		return
	case out.reason == fleet.ReasonNoConnection:
		g.Guard.ReturnUnreachable(now, q.verdict, q.print())
	default:
		g.Guard.ReturnPermit(now, q.verdict, q.print(), unsent)
	}
	g.wake()
}

// noteWhole notes a whole answer: its request does not end targets. A failure is none, since
// a target may make it without running the request.
func (g *Gateway) noteWhole(q *request, status int) {
	if status >= http.StatusMultipleChoices {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.Guard.Idle() {
		g.Guard.RecordCompletion(g.Clock.Now(), q.print())
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
	if g.ruled != nil {
		close(g.ruled)
		g.ruled = nil
	}
}

// wake has the leader asked at once.
func (g *Gateway) wake() {
	select {
	case g.PollLeader <- struct{}{}:
	default: // it is about to be, or nobody asks
	}
}

// missing takes the list of targets: one that cut an exchange, did not leave, and is not
// listed any more has ended.
func (g *Gateway) missing(now time.Time, targets []fleet.Instance) {
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
			g.wake()
		}
	}
}
