package gateway

import (
	"net/http"
	"strconv"
	"time"

	"laburnumfall/internal/admission"
	"laburnumfall/internal/backpressure"
	"laburnumfall/internal/caller"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/intake"
	"laburnumfall/internal/placement"
	"laburnumfall/internal/quarantine"
	"laburnumfall/internal/retry"
	"laburnumfall/internal/upstream"
	"laburnumfall/internal/waitlist"
)

const (
	// maxUnreachable is how many targets in a row may be unreachable before the caller is asked to
	// retry later, and maxUnreachableTime is how long these attempts may take together. The time
	// limit matters because a target that has ended refuses connections within a round trip, but
	// one whose VM is down does not answer at all.
	maxUnreachable     = 12
	maxUnreachableTime = 600 * time.Millisecond
	// writeGrace is how long after its deadline a request's response may still be written.
	writeGrace = time.Second
)

// A request is a caller's request in progress.
type request struct {
	w                 http.ResponseWriter
	r                 *http.Request
	id                string
	route             *fleet.Route
	pool              string
	account           string
	body              []byte
	bodyReservation   intake.Body
	bodyRetryAfter    time.Duration // when there may be memory for it, if there is none
	promptParts       []placement.PromptPart
	output            int     // largest number of generated tokens that the request allows
	cost              float64 // in tokens: one per prompt token, two per generated token
	withinShare       bool    // the account's demand does not exceed its fair share
	charged           bool    // the account has been charged
	charge            float64 // what was taken from the account's balance
	throttled         bool    // the request exceeds the throttle of its pool
	arrivedAt         time.Time
	callerCheckedAt   time.Time // when it was last checked whether the caller has left
	deadline          time.Time // when the caller's or the route's time is up
	attempts          int       // how often the request was sent to a target that may have read it
	misaddressed      int       // of attempts, those that reached another target at a reused address
	mayHaveRun        bool      // an attempt may have run
	triedTargets      []fleet.Incarnation
	sends             upstream.Sends
	connPort          int                      // local port of the connection of the last attempt
	lastEventID       string                   // of the last event that was written to the caller
	version           *string                  // of the software that began the stream, the only one that may go on with it; nil before its first event
	originRecorded    bool                     // the first event of this response has been sent
	responseStarted   bool                     // the response to the caller has begun
	cachedFingerprint quarantine.Fingerprint   // set by fingerprint
	cachedParts       []quarantine.Fingerprint // set by partFingerprints
	decision          quarantine.Decision      // quarantine decision for the next attempt
	interrupted       bool                     // a target that was not leaving interrupted the last attempt
	partsCompleted    bool                     // the last attempt has cleared the parts of the prompt
	signal            backpressure.Signal      // in the response to the last attempt
	slowdown          float64                  // of the target, in the response to the last attempt; 0 if it is not stated
	firstByteAt       time.Time                // when the response began
	place             waitlist.State           // what became of its place; "" if it has not asked for one
	waited            time.Duration            // since it was refused and got the place that is honoured now
}

// ServeHTTP serves one caller's request until its end.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.activeRequests.Add(1)
	defer g.activeRequests.Add(-1)
	now := g.Clock.Now()
	announceClose, refuseNew := g.shutdownActions(now)
	if announceClose || g.conns.IsOverloaded() {
		w.Header().Set("Connection", "close")
	}
	req := &request{w: w, r: r, id: g.Dialect.RequestID(r.Header), arrivedAt: now}
	g.setWriteTimeout(req, caller.DefaultHeaderTimeout)
	if req.id == "" {
		req.id = g.Name + "-" + strconv.FormatInt(now.UnixNano(), 36) + "-" + strconv.FormatUint(g.requestCount.Add(1), 36)
	}
	req.sends.ID = req.id
	if refuseNew {
		g.refuse(req, refusal{status: http.StatusServiceUnavailable, kind: fleet.KindStopping, reason: fleet.ReasonStopping, retryAfter: minRetryAfter})
		return
	}
	g.awaitFreshState(now)
	state := g.State()
	if refused, ok := g.admit(req, state); !ok {
		g.refuse(req, refused)
		return
	}
	defer g.releaseBody(req)
	if refused, ok := g.readBody(req, state); !ok {
		g.refuse(req, refused)
		return
	}
	g.setWriteTimeout(req, req.deadline.Sub(g.Clock.Now())+writeGrace) // reading the body took time
	if refused, ok := g.resolveOrigin(req); !ok {
		g.refuse(req, refused)
		return
	}
	g.forward(req)
}

// forward sends a request to targets, one after the other, until one answers it or it must not be
// sent again.
func (g *Gateway) forward(req *request) {
	g.countRequest(req)
	var unreachableTime time.Duration // of attempts to connect, without suspensions of the process
	for unreachableCount := 0; ; {
		now := g.Clock.Now()
		req.callerCheckedAt = now
		if caller.HasLeft(req.r.Context()) {
			g.abortCanceled(req, nil)
		}
		g.conns.ReleaseReadSlot(caller.ConnFromContext(req.r.Context()))
		if !now.Before(req.deadline) {
			g.giveUp(req, fleet.ReasonDeadlineExceeded, nil)
			return
		}
		g.awaitFreshState(now)
		if refused, ok := g.checkKey(req, g.State()); !ok {
			g.refuseOrAbort(req, refused)
			return
		}
		if refused, ok := g.awaitQuarantineDecision(req); !ok {
			g.refuseOrAbort(req, refused)
			return
		}
		now = g.Clock.Now() // the quarantine decision may have taken time
		choice, refused, ok := g.findTarget(now, req)
		if !ok {
			g.returnPermit(req, attemptOutcome{}, true)
			g.refuseOrAbort(req, refused)
			return
		}
		attemptsBefore := req.attempts
		outcome := g.send(req, choice)
		if outcome.notRun {
			g.refund(req)
		}
		g.returnPermit(req, outcome, req.attempts == attemptsBefore)
		switch outcome.next {
		case stepDone:
			return
		case stepTryElsewhere:
			unreachableCount++
			if outcome.reason == fleet.ReasonNoConnection {
				unreachableTime += min(g.Clock.Now().Sub(now), upstream.DialTimeout)
			}
			if unreachableCount >= maxUnreachable || unreachableTime >= maxUnreachableTime {
				g.refuseOrAbort(req, refusal{status: http.StatusServiceUnavailable, kind: fleet.KindNoTarget, reason: fleet.ReasonNoTargetReachable, retryAfter: noCapacityRetryAfter, err: outcome.err})
				return
			}
		case stepRetry:
		case stepRetryIfAllowed:
			if !g.allowRetry(req) {
				g.giveUp(req, outcome.reason, outcome.err)
				return
			}
		case stepFail:
			g.giveUp(req, outcome.reason, outcome.err)
			return
		}
	}
}

// setWriteTimeout bounds how long a caller may take to read its response. Otherwise a caller that does
// not read would occupy a target, and memory, until it closes the connection.
func (g *Gateway) setWriteTimeout(req *request, timeout time.Duration) {
	if err := http.NewResponseController(req.w).SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		g.Log.Debug("write deadline for the response not set", "request", req.id, "error", err)
	}
}

// findTarget chooses a target, or returns the reason to refuse the request. A request that is refused for
// lack of room gets the place that it waits for, if its time has come.
func (g *Gateway) findTarget(now time.Time, req *request) (*placement.Choice, refusal, bool) {
	choice, refused, ok := g.chooseTarget(now, req)
	g.Metrics.choiceTime.Observe(g.Clock.Now().Sub(now).Seconds())
	if !ok {
		choice, refused, ok = g.takePlace(req, refused)
	}
	if !ok && refused.reason == fleet.ReasonPromptTooLarge {
		refused = g.refuseByConfig(g.State(), refused)
	}
	return choice, refused, ok
}

// chooseTarget chooses a target, or returns the reason to refuse the request.
func (g *Gateway) chooseTarget(now time.Time, req *request) (*placement.Choice, refusal, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.controller.Placer == nil {
		g.controller = admission.NewController(&g.placer, &g.shares)
		if g.Places != nil {
			g.places.Router = g.Name
			g.controller.Places = &g.places
		}
	}
	choice, rejection := g.controller.Decide(now, admission.Request{
		Placement: placement.Request{Pool: req.pool, Parts: req.promptParts, Avoid: req.triedTargets, OnlyTarget: req.decision.PermitTarget, OnlyVersion: req.version, Output: req.output}, Route: req.route, Account: req.account,
		Cost: req.cost, Deadline: req.deadline, WithinShare: req.withinShare, Throttled: req.throttled, SentBefore: req.attempts > 0, Charged: req.charged, Charge: &req.charge,
		HasPlace: req.place == waitlist.Honored, Waited: req.waited,
	})
	if rejection != nil {
		return nil, req.admissionRefusal(*rejection), false
	}
	req.charged = true
	return choice, refusal{}, true
}

// admissionRefusal returns the response for a request that admission control rejected. Status 429
// says that the account is over its fair share; any other rejection means that the fleet has no
// capacity.
func (req *request) admissionRefusal(rejection admission.Refusal) refusal {
	refused := refusal{
		status: http.StatusServiceUnavailable, kind: fleet.KindNoTarget, reason: rejection.Reason, retryAfter: rejection.RetryAfter,
		predictedTTFB: rejection.PredictedTTFB, queueTime: rejection.QueueTime, load: rejection.Load, excess: rejection.Excess,
		waits: rejection.Waits, place: rejection.Place,
	}
	switch rejection.Reason {
	case fleet.ReasonVersionGone:
		refused.remedy = remedyStartAgain
	case fleet.ReasonPromptTooLarge:
		refused.status, refused.kind, refused.remedy = http.StatusRequestEntityTooLarge, fleet.KindTooLarge, remedyShorterPrompt
	case fleet.ReasonOverShare:
		refused.status, refused.kind = http.StatusTooManyRequests, fleet.KindQueueFull
	case fleet.ReasonAllBackingOff:
		refused.retryAfter += req.retryJitter()
	}
	return refused
}

// refund returns an account's charge for an attempt that no target ran. When many targets have
// ended, each request may try several of them. Without refunds, an account whose requests come in
// through many routers, which all try the ended targets, would be charged for service that it did
// not get.
func (g *Gateway) refund(req *request) {
	if !req.charged || req.cost == 0 {
		return
	}
	req.charged = false
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shares.Refund(g.Clock.Now(), req.account, req.cost, req.charge)
}

func (g *Gateway) endAttempt(choice *placement.Choice, result placement.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.placer.EndAttempt(g.Clock.Now(), choice, result)
}

func (g *Gateway) retryBudget(pool string) *retry.Budget {
	if g.retryBudgets == nil {
		g.retryBudgets = make(map[string]*retry.Budget)
	}
	budget := g.retryBudgets[pool]
	if budget == nil {
		budget = &retry.Budget{Ratio: g.Settings.RetryRatio, Slack: g.Settings.RetrySlack, Window: g.Settings.RetryWindow}
		g.retryBudgets[pool] = budget
	}
	return budget
}

// countRequest counts a request towards the retry budget, the throttle of its pool and the share of
// its account.
func (g *Gateway) countRequest(req *request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	g.retryBudget(req.pool).CountRequest(now)
	req.throttled = g.exceedsThrottle(now, req)
	req.withinShare = req.cost == 0 || g.shares.CountRequest(now, req.account, req.cost)
}

// possibleRuns returns how many targets may have run the request. Attempts that reached another
// target at a reused address do not count.
func (req *request) possibleRuns() int {
	return req.attempts - req.misaddressed
}

// allowRetry reports whether a request may be retried, and if so takes one retry from the budget
// that all routers share.
func (g *Gateway) allowRetry(req *request) bool {
	if req.possibleRuns() >= req.route.MaxAttempts {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.retryBudget(req.pool).Allow(g.Clock.Now(), g.placer.Routers)
}
