package gateway

import (
	"net/http"
	"strconv"
	"time"

	"laburnumfall/internal/admission"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/placement"
	"laburnumfall/internal/quarantine"
	"laburnumfall/internal/retry"
)

const (
	// bodyMemoryDivisor is the part of the process's memory that bodies may take.
	bodyMemoryDivisor = 8
	// maxUnreachable bounds how many targets in a row may turn out to be gone before the
	// caller is asked to come back, and unreachedFor how long they may take: a target that
	// has ended refuses within a round trip, one whose VM is dark says nothing.
	maxUnreachable     = 12
	maxUnreachableTime = 600 * time.Millisecond
)

// A request is one caller's request in progress.
type request struct {
	w                 *deadlineWriter
	r                 *http.Request
	id                string
	route             *fleet.Route
	pool              string
	account           string
	body              []byte
	parts             []placement.PromptPart
	cost              float64 // that the request costs: one each to read, two to generate
	withinShare       bool    // its account's share
	charged           bool    // its account has paid for it
	throttled         bool    // that a crowded service would refuse
	arrivedAt         time.Time
	deadline          time.Time // when the caller or the route gives up
	attempts          int       // attempts that a target may have read
	misaddressed      int       // of these, met by another target at the address
	mayHaveRun        bool      // one of them may have run
	triedTargets      []fleet.Incarnation
	lastEventID       string                 // ID of the last event that the caller has
	responseStarted   bool                   // an answer has begun
	cachedFingerprint quarantine.Fingerprint // its fingerprint, once it was asked for
	decision          quarantine.Decision    // by which it is sent
	interrupted       bool                   // a target that was to stay cut the last attempt
	firstByteAt       time.Time              // when it began
}

// ServeHTTP takes one caller's request to its end.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	now := g.Clock.Now()
	announce, refuse := g.shutdownActions(now)
	if announce || g.conns.isOverloaded() {
		w.Header().Set("Connection", "close")
	}
	q := &request{w: &deadlineWriter{ResponseWriter: w}, r: r, id: g.Dialect.RequestID(r.Header), arrivedAt: now}
	g.setWriteTimeout(q, defaultHeaderTimeout)
	if q.id == "" {
		q.id = g.Name + "-" + strconv.FormatInt(now.UnixNano(), 36) + "-" + strconv.FormatUint(g.requestCount.Add(1), 36)
	}
	if refuse {
		g.refuse(q, refusal{status: http.StatusServiceUnavailable, kind: fleet.KindStopping, reason: fleet.ReasonStopping, retryAfter: minRetryAfter})
		return
	}
	g.awaitFreshState(now)
	s := g.State()
	if refused, ok := g.admit(q, s); !ok {
		g.refuse(q, refused)
		return
	}
	if refused, ok := g.readBody(q, s); !ok {
		g.refuse(q, refused)
		return
	}
	defer g.bodyBytes.Add(-int64(len(q.body)))
	g.setWriteTimeout(q, q.deadline.Sub(now)+writeGrace)
	g.forward(q)
}

// forward sends a request to one target after the other until one answers it, or
// it may not be sent again.
func (g *Gateway) forward(q *request) {
	g.countRequest(q)
	var since time.Time // when the first of the targets was tried that could not be reached
	for unreached := 0; ; {
		now := g.Clock.Now()
		if callerLeft(q.r.Context()) {
			g.abortCanceled(q, nil)
		}
		g.conns.releaseReadSlot(connFromContext(q.r.Context()))
		if !now.Before(q.deadline) {
			g.giveUp(q, fleet.ReasonDeadlineExceeded, nil)
			return
		}
		g.awaitFreshState(now)
		if refused, ok := g.checkKey(q, g.State()); !ok {
			g.refuseOrAbort(q, refused)
			return
		}
		if refused, ok := g.awaitQuarantineDecision(q); !ok {
			g.refuseOrAbort(q, refused)
			return
		}
		now = g.Clock.Now() // it may have waited
		choice, refused, ok := g.chooseTarget(now, q)
		g.Metrics.choiceTime.Observe(g.Clock.Now().Sub(now).Seconds())
		if !ok {
			g.returnPermit(q, attemptOutcome{}, true)
			g.refuseOrAbort(q, refused)
			return
		}
		sent := q.attempts
		out := g.send(q, choice)
		if out.notRun {
			g.refund(q)
		}
		g.returnPermit(q, out, q.attempts == sent)
		switch out.next {
		case stepDone:
			return
		case stepTryElsewhere:
			if unreached == 0 {
				since = now
			}
			unreached++
			if unreached >= maxUnreachable || g.Clock.Now().Sub(since) >= maxUnreachableTime {
				g.refuseOrAbort(q, refusal{status: http.StatusServiceUnavailable, kind: fleet.KindNoTarget, reason: fleet.ReasonNoTargetReachable, retryAfter: noCapacityRetryAfter, err: out.err})
				return
			}
		case stepRetry:
		case stepRetryIfAllowed:
			if !g.allowRetry(q) {
				g.giveUp(q, out.reason, out.err)
				return
			}
		case stepFail:
			g.giveUp(q, out.reason, out.err)
			return
		}
	}
}

// setWriteTimeout bounds how long a caller may take to read its answer.
func (g *Gateway) setWriteTimeout(q *request, most time.Duration) {
	if err := q.w.setDeadline(time.Now().Add(most)); err != nil {
		g.Log.Debug("no write deadline", "request", q.id, "error", err)
	}
}

// chooseTarget picks a target, or refuses the request.
func (g *Gateway) chooseTarget(now time.Time, q *request) (*placement.Choice, refusal, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.controller.Placer == nil {
		g.controller = admission.NewController(&g.placer, &g.shares)
	}
	choice, no := g.controller.Decide(now, admission.Request{
		Placement: placement.Request{Pool: q.pool, Parts: q.parts, Avoid: q.triedTargets, OnlyTarget: q.decision.PermitTarget}, Route: q.route, Account: q.account,
		Cost: q.cost, Deadline: q.deadline, WithinShare: q.withinShare, Throttled: q.throttled, SentBefore: q.attempts > 0, Charged: q.charged,
	})
	if no != nil {
		return nil, admissionRefusal(*no), false
	}
	q.charged = true
	return choice, refusal{}, true
}

// admissionRefusal makes the answer of a decision's refusal. Work beyond an account's share is
// the account's to hold back; all else is the fleet's want of room.
func admissionRefusal(no admission.Refusal) refusal {
	r := refusal{
		status: http.StatusServiceUnavailable, kind: fleet.KindNoTarget, reason: no.Reason, retryAfter: no.RetryAfter,
		predictedTTFB: no.PredictedTTFB, queueTime: no.QueueTime, load: no.Load, excess: no.Excess,
	}
	if no.Reason == fleet.ReasonOverShare {
		r.status, r.kind = http.StatusTooManyRequests, fleet.KindQueueFull
	}
	return r
}

// refund gives an account back what it paid for an attempt that no target ran. Where many
// targets are gone, a request may meet several: an account whose requests come in through many
// routers, each of which finds that out by itself, would seem to be served what it never got.
func (g *Gateway) refund(q *request) {
	if !q.charged || q.cost == 0 {
		return
	}
	q.charged = false
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shares.Refund(g.Clock.Now(), q.account, q.cost)
}

func (g *Gateway) endAttempt(c *placement.Choice, r placement.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.placer.EndAttempt(g.Clock.Now(), c, r)
}

func (g *Gateway) retryBudget(pool string) *retry.Budget {
	if g.retryBudgets == nil {
		g.retryBudgets = make(map[string]*retry.Budget)
	}
	b := g.retryBudgets[pool]
	if b == nil {
		b = &retry.Budget{Ratio: g.Settings.RetryRatio, Slack: g.Settings.RetrySlack, Window: g.Settings.RetryWindow}
		g.retryBudgets[pool] = b
	}
	return b
}

// countRequest counts a request towards the retry budget and its account's share.
func (g *Gateway) countRequest(q *request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	g.retryBudget(q.pool).CountRequest(now)
	q.throttled = g.exceedsThrottle(now, q)
	q.withinShare = q.cost == 0 || g.shares.CountRequest(now, q.account, q.cost)
}

// possibleRuns returns how many targets may have run the request. Another one that has the address by
// now has not.
func (q *request) possibleRuns() int {
	return q.attempts - q.misaddressed
}

// allowRetry reports whether a request may go to one more target, and takes that
// from the budget that all routers share.
func (g *Gateway) allowRetry(q *request) bool {
	if q.possibleRuns() >= q.route.MaxAttempts {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.retryBudget(q.pool).Allow(g.Clock.Now(), g.placer.Routers)
}
