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
	// heldPart is the part of the process's memory that bodies may take.
	heldPart = 8
	// maxUnreached bounds how many targets in a row may turn out to be gone before the
	// caller is asked to come back, and unreachedFor how long they may take: a target that
	// has ended refuses within a round trip, one whose VM is dark says nothing.
	maxUnreached = 12
	unreachedFor = 600 * time.Millisecond
)

// A request is one caller's request in progress.
type request struct {
	w       *callerWriter
	r       *http.Request
	id      string
	route   *fleet.Route
	pool    string
	account string
	body    []byte
	parts   []placement.PromptPart
	tokens  float64 // that the request costs: one each to read, two to generate
	within  bool    // its account's share
	charged bool    // its account has paid for it
	surplus bool    // that a crowded service would refuse
	arrived time.Time
	until   time.Time // when the caller or the route gives up
	sent    int       // attempts that a target may have read
	moved   int       // of these, met by another target at the address
	ran     bool      // one of them may have run
	tried   []fleet.Incarnation
	after   string                 // ID of the last event that the caller has
	begun   bool                   // an answer has begun
	printed quarantine.Fingerprint // its fingerprint, once it was asked for
	verdict quarantine.Decision    // by which it is sent
	cut     bool                   // a target that was to stay cut the last attempt
	first   time.Time              // when it began
}

// ServeHTTP takes one caller's request to its end.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	now := g.Clock.Now()
	announce, refuse := g.closing(now)
	if announce || g.callers.behind() {
		w.Header().Set("Connection", "close")
	}
	q := &request{w: &callerWriter{ResponseWriter: w}, r: r, id: g.Dialect.RequestID(r.Header), arrived: now}
	g.limitWriting(q, headerTime)
	if q.id == "" {
		q.id = g.Name + "-" + strconv.FormatInt(now.UnixNano(), 36) + "-" + strconv.FormatUint(g.count.Add(1), 36)
	}
	if refuse {
		g.refuse(q, refusal{status: http.StatusServiceUnavailable, kind: fleet.KindStopping, reason: fleet.ReasonStopping, back: soon})
		return
	}
	g.awaitNews(now)
	s := g.State()
	if refused, ok := g.admit(q, s); !ok {
		g.refuse(q, refused)
		return
	}
	if refused, ok := g.readBody(q, s); !ok {
		g.refuse(q, refused)
		return
	}
	defer g.held.Add(-int64(len(q.body)))
	g.limitWriting(q, q.until.Sub(now)+writeSlack)
	g.carry(q)
}

// carry sends a request to one target after the other until one answers it, or
// it may not be sent again.
func (g *Gateway) carry(q *request) {
	g.countRequest(q)
	var since time.Time // when the first of the targets was tried that could not be reached
	for unreached := 0; ; {
		now := g.Clock.Now()
		if left(q.r.Context()) {
			g.leave(q, nil)
		}
		g.callers.settled(connOf(q.r.Context()))
		if !now.Before(q.until) {
			g.giveUp(q, fleet.ReasonDeadlineExceeded, nil)
			return
		}
		g.awaitNews(now)
		if refused, ok := g.checkKey(q, g.State()); !ok {
			g.end(q, refused)
			return
		}
		if refused, ok := g.holdBack(q); !ok {
			g.end(q, refused)
			return
		}
		now = g.Clock.Now() // it may have waited
		choice, refused, ok := g.choose(now, q)
		g.Metrics.choice.Observe(g.Clock.Now().Sub(now).Seconds())
		if !ok {
			g.giveBack(q, outcome{}, true)
			g.end(q, refused)
			return
		}
		sent := q.sent
		out := g.send(q, choice)
		if out.unrun {
			g.refund(q)
		}
		g.giveBack(q, out, q.sent == sent)
		switch out.next {
		case finished:
			return
		case elsewhere:
			if unreached == 0 {
				since = now
			}
			unreached++
			if unreached >= maxUnreached || g.Clock.Now().Sub(since) >= unreachedFor {
				g.end(q, refusal{status: http.StatusServiceUnavailable, kind: fleet.KindNoTarget, reason: fleet.ReasonNoTargetReachable, back: moment, err: out.err})
				return
			}
		case granted:
		case again:
			if !g.mayRepeat(q) {
				g.giveUp(q, out.reason, out.err)
				return
			}
		case over:
			g.giveUp(q, out.reason, out.err)
			return
		}
	}
}

// limitWriting bounds how long a caller may take to read its answer.
func (g *Gateway) limitWriting(q *request, most time.Duration) {
	if err := q.w.limit(time.Now().Add(most)); err != nil {
		g.Log.Debug("no write deadline", "request", q.id, "error", err)
	}
}

// choose picks a target, or refuses the request.
func (g *Gateway) choose(now time.Time, q *request) (*placement.Choice, refusal, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.desk.Placer == nil {
		g.desk = admission.NewController(&g.placer, &g.shares)
	}
	choice, no := g.desk.Decide(now, admission.Request{
		Placement: placement.Request{Pool: q.pool, Parts: q.parts, Avoid: q.tried, OnlyTarget: q.verdict.PermitTarget}, Route: q.route, Account: q.account,
		Cost: q.tokens, Deadline: q.until, WithinShare: q.within, Throttled: q.surplus, SentBefore: q.sent > 0, Charged: q.charged,
	})
	if no != nil {
		return nil, refusalOf(*no), false
	}
	q.charged = true
	return choice, refusal{}, true
}

// refusalOf makes the answer of a decision's refusal. Work beyond an account's share is
// the account's to hold back; all else is the fleet's want of room.
func refusalOf(no admission.Refusal) refusal {
	r := refusal{
		status: http.StatusServiceUnavailable, kind: fleet.KindNoTarget, reason: no.Reason, back: no.RetryAfter,
		wait: no.PredictedTTFB, queue: no.QueueTime, load: no.Load, excess: no.Excess,
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
	if !q.charged || q.tokens == 0 {
		return
	}
	q.charged = false
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shares.Refund(g.Clock.Now(), q.account, q.tokens)
}

func (g *Gateway) ended(c *placement.Choice, r placement.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.placer.EndAttempt(g.Clock.Now(), c, r)
}

func (g *Gateway) budget(pool string) *retry.Budget {
	if g.budgets == nil {
		g.budgets = make(map[string]*retry.Budget)
	}
	b := g.budgets[pool]
	if b == nil {
		b = &retry.Budget{Ratio: g.Settings.RetryRatio, Slack: g.Settings.RetrySlack, Window: g.Settings.RetryWindow}
		g.budgets[pool] = b
	}
	return b
}

// countRequest counts a request towards the retry budget and its account's share.
func (g *Gateway) countRequest(q *request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	g.budget(q.pool).CountRequest(now)
	q.surplus = g.keptBack(now, q)
	q.within = q.tokens == 0 || g.shares.CountRequest(now, q.account, q.tokens)
}

// tries returns how many targets may have run the request. Another one that has the address by
// now has not.
func (q *request) tries() int {
	return q.sent - q.moved
}

// mayRepeat reports whether a request may go to one more target, and takes that
// from the budget that all routers share.
func (g *Gateway) mayRepeat(q *request) bool {
	if q.tries() >= q.route.MaxAttempts {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget(q.pool).Allow(g.Clock.Now(), g.placer.Routers)
}
