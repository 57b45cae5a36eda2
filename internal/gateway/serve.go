package gateway

import (
	"net/http"
	"strconv"
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/placement"
	"laburnumfall/internal/retry"
)

const (
	// heldPart is the part of the process's memory that bodies may take.
	heldPart = 8
	// writeSlack is how long after its route's time a caller may still read.
	writeSlack = time.Second
	// maxUnreached bounds how many targets in a row may turn out unreachable
	// before the caller is asked to come back.
	maxUnreached = 3
	// roomPart is the part of the aim, as a divisor, up to which a request's
	// predicted time to a first byte, its own prompt included, counts as room:
	// work beyond an account's share then delays nobody's beyond their aim, and
	// what would have to be read anew waits until it is within its share. With
	// the queue alone, the heaviest day earned 0.20 instead of 0.49 of what was
	// owed (one run each).
	roomPart = 2
	// roomExcess is how many times as much an account may be served as another
	// that lacks service before its further work finds less room. Twice as much
	// is what is held to be unfair.
	roomExcess = 1.3
	// roomLoad is the part of a target's slots up to which it has room for such
	// work. Engines slow down with each request that runs. At three quarters instead
	// of a half, callers were refused 41% less on one of the heaviest days, 13 to 19% less
	// on four, as often on one, and as much was served in all (mean worth within 0.006 on
	// both deployments, one run each).
	roomLoad = 0.75
)

// A request is one caller's request in progress.
type request struct {
	w       http.ResponseWriter
	r       *http.Request
	id      string
	route   *fleet.Route
	pool    string
	account string
	body    []byte
	parts   []placement.Part
	tokens  float64 // that the request costs: one each to read, two to generate
	within  bool    // its account's share
	surplus bool    // that a crowded service would refuse
	arrived time.Time
	until   time.Time // when the caller or the route gives up
	sent    int       // attempts that a target may have read
	ran     bool      // one of them may have run
	tried   []fleet.Incarnation
	after   string    // ID of the last event that the caller has
	begun   bool      // an answer has begun
	first   time.Time // when it began
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
	g.limitWriting(w, headerTime)
	q := &request{w: w, r: r, id: g.Dialect.ID(r.Header), arrived: now}
	if q.id == "" {
		q.id = g.Name + "-" + strconv.FormatInt(now.UnixNano(), 36) + "-" + strconv.FormatUint(g.count.Add(1), 36)
	}
	if refuse {
		g.refuse(q, refusal{status: http.StatusServiceUnavailable, kind: fleet.KindStopping, reason: fleet.ReasonStopping, back: soon})
		return
	}
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
	g.limitWriting(w, q.until.Sub(now)+writeSlack)
	g.carry(q)
}

// carry sends a request to one target after the other until one answers it, or
// it may not be sent again.
func (g *Gateway) carry(q *request) {
	g.countRequest(q)
	for unreached := 0; ; {
		now := g.Clock.Now()
		if left(q.r.Context()) {
			g.leave(q, nil)
		}
		g.callers.settled(connOf(q.r.Context()))
		if !now.Before(q.until) {
			g.giveUp(q, fleet.ReasonTimeUp, nil)
			return
		}
		if refused, ok := g.checkKey(q, g.State()); !ok {
			g.end(q, refused)
			return
		}
		choice, refused, ok := g.choose(now, q)
		g.Meters.choice.Observe(g.Clock.Now().Sub(now).Seconds())
		if !ok {
			g.end(q, refused)
			return
		}
		switch out := g.send(q, choice); out.next {
		case finished:
			return
		case elsewhere:
			unreached++
			if unreached >= maxUnreached {
				g.end(q, refusal{status: http.StatusServiceUnavailable, kind: fleet.KindNoTarget, reason: fleet.ReasonUnreached, back: moment, err: out.err})
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

// limitWriting bounds how long a caller may take to read its answer. One that
// reads nothing would hold its target, and memory, until it closes.
func (g *Gateway) limitWriting(w http.ResponseWriter, most time.Duration) {
	if err := http.NewResponseController(w).SetWriteDeadline(time.Now().Add(most)); err != nil {
		g.Log.Debug("no write deadline", "error", err)
	}
}

// choose picks a target, or refuses at once what would only wait until its
// caller has left, and what is beyond its account's share where there is no room.
func (g *Gateway) choose(now time.Time, q *request) (*placement.Choice, refusal, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := placement.Request{Pool: q.pool, Parts: q.parts, Avoid: q.tried}
	choice, ok := g.placer.Choose(now, r)
	if !ok {
		return nil, refusal{status: http.StatusServiceUnavailable, kind: fleet.KindNoTarget, reason: fleet.ReasonNoTarget, back: moment}, false
	}
	patience := min(q.route.Patience(), q.until.Sub(now))
	refused := refusal{wait: choice.Wait, queue: choice.Queue, load: choice.Load, excess: g.shares.Excess(now, q.account)}
	switch {
	case q.surplus && q.sent == 0:
		refused.status, refused.kind, refused.reason = http.StatusServiceUnavailable, fleet.KindNoTarget, fleet.ReasonCrowded
		refused.back = moment
		return nil, refused, false
	case choice.Wait > patience:
		refused.status, refused.kind, refused.reason = http.StatusServiceUnavailable, fleet.KindNoTarget, fleet.ReasonBehind
		refused.back = max(choice.Wait-q.route.Aim, soon)
		return nil, refused, false
	case !q.within && q.sent == 0 && !g.hasRoom(now, q, choice):
		refused.status, refused.kind, refused.reason = http.StatusTooManyRequests, fleet.KindQueueFull, fleet.ReasonOverShare
		refused.back = max(g.shares.Wait(now, q.account), moment)
		return nil, refused, false
	}
	if q.sent == 0 && q.tokens > 0 {
		g.shares.Spend(now, q.account, q.tokens)
	}
	g.placer.Begin(now, choice, r)
	return choice, refused, true
}

// hasRoom reports whether a choice has room for work beyond its account's share.
// There is less the more the account is served than others that lack service, and
// more, up to the whole aim, the more another one is served than it: else accounts
// whose prompts happen to be kept, or short, would fill whatever room there is, and
// others, whose prompts must be read, would get under half of what these get. With the
// second part, the greatest ratio logged between two accounts, of which one asked for
// ten times its usual, fell from 2.5 to 2.1 (one run each).
func (g *Gateway) hasRoom(now time.Time, q *request, c *placement.Choice) bool {
	part := 1.0
	if excess := g.shares.Excess(now, q.account); excess > roomExcess {
		part = (roomExcess / excess) * (roomExcess / excess)
	} else if deficit := g.shares.Deficit(now, q.account); deficit > roomExcess {
		part = min((deficit/roomExcess)*(deficit/roomExcess), roomPart)
	}
	room := time.Duration(float64(q.route.Aim/roomPart) * part)
	return c.Wait <= room && c.Load <= roomLoad*part
}

func (g *Gateway) ended(c *placement.Choice, r placement.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.placer.Ended(g.Clock.Now(), c, r)
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
	g.budget(q.pool).Request(now)
	q.surplus = g.keptBack(now, q)
	q.within = q.tokens == 0 || g.shares.Ask(now, q.account, q.tokens)
}

// mayRepeat reports whether a request may go to one more target, and takes that
// from the budget that all routers share.
func (g *Gateway) mayRepeat(q *request) bool {
	if q.sent >= q.route.Attempts {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget(q.pool).Allow(g.Clock.Now(), g.placer.Routers)
}
