package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
	"laburnumfall/internal/placement"
	"laburnumfall/internal/quota"
)

var start = time.Unix(1e9, 0)

// newController returns a controller for one engine with the given number of slots.
func newController(slots int) Controller {
	c := NewController(&placement.Placer{Routers: 1}, &quota.Shares{Capacity: 1000})
	c.Placer.SetPools(map[string]fleet.Pool{"p": {Engine: &fleet.Engine{}}})
	c.Placer.SetTargets(start, []fleet.Instance{{Incarnation: fleet.Incarnation{ID: "a"}, Pool: "p", Slots: slots}})
	return c
}

var route = &fleet.Route{Kind: fleet.RouteStream, LatencyObjective: time.Second, Timeout: 10 * time.Second, MaxEventGap: 300 * time.Millisecond, MaxAttempts: 1, PrefixCached: true}

func request(tokens int) Request {
	return Request{
		Placement: placement.Request{Pool: "p", Parts: []placement.PromptPart{{ID: 1, Tokens: tokens}}}, Route: route, Account: "x",
		Cost: float64(tokens), Deadline: start.Add(route.Timeout),
	}
}

func TestRefusalReasonsAndRetryAfter(t *testing.T) {
	within := func(r Request) Request { r.WithinShare = true; return r }
	for name, tc := range map[string]struct {
		queued        int // prompt tokens
		request       Request
		want          fleet.Reason
		minRetryAfter time.Duration
		maxRetryAfter time.Duration
	}{
		"free headroom":                      {0, request(100), "", 0, 0},
		"within share, long wait":            {45000, within(request(100)), "", 0, 0},
		"within share, wait exceeds timeout": {120000, within(request(100)), fleet.ReasonWaitTooLong, time.Second, 5 * time.Second},
		"over share, no headroom":            {30000, request(100), fleet.ReasonOverShare, MinRetryAfter, route.LatencyObjective / retryDivisor},
		"over share, sent before":            {30000, func() Request { r := request(100); r.SentBefore = true; return r }(), "", 0, 0},
		"throttled plain service":            {0, func() Request { r := request(0); r.Throttled = true; return r }(), fleet.ReasonServiceOverloaded, NoCapacityRetryAfter, NoCapacityRetryAfter},
		"no target":                          {0, func() Request { r := request(1); r.Placement.Pool = "q"; return r }(), fleet.ReasonNoTarget, NoCapacityRetryAfter, NoCapacityRetryAfter},
	} {
		t.Run(name, func(t *testing.T) {
			c := newController(64)
			const piece = 5000 // tokens
			for left := tc.queued; left > 0; left -= piece {
				_, refusal := c.Decide(start, within(request(piece)))
				require.Nil(t, refusal)
			}
			choice, refusal := c.Decide(start, tc.request)
			if tc.want == "" {
				require.Nil(t, refusal)
				require.Equal(t, "a", choice.Target.ID)
				return
			}
			require.NotNil(t, refusal)
			require.Equal(t, tc.want, refusal.Reason)
			require.GreaterOrEqual(t, refusal.RetryAfter, tc.minRetryAfter)
			require.LessOrEqual(t, refusal.RetryAfter, tc.maxRetryAfter)
		})
	}
}

// Guards against late answers after a refusal. The Retry-After time depended only on the
// account's share and was up to 2 s, although engines had capacity again long before, so callers
// retried after the latency objective had passed.
func TestRetryAfterLeavesTimeForAnswer(t *testing.T) {
	c := newController(64)
	_, refusal := c.Decide(start, func() Request { r := request(30000); r.WithinShare = true; return r }())
	require.Nil(t, refusal)
	c.Shares.CountRequest(start, "x", 5000)
	c.Shares.Spend(start, "x", 5000)
	require.Greater(t, c.Shares.RefillTime(start, "x"), route.LatencyObjective)
	_, refusal = c.Decide(start, request(100))
	require.Equal(t, fleet.ReasonOverShare, refusal.Reason)
	require.LessOrEqual(t, refusal.RetryAfter, route.LatencyObjective/retryDivisor)
}

// headroomAdmits returns a function that reports whether Headroom admits a request of an account,
// given its predicted time to first byte and the target's load.
func headroomAdmits(shares *quota.Shares, route *fleet.Route) func(account string, wait time.Duration, load float64) bool {
	rule := Headroom{Scales: []HeadroomScale{ShrinkByExcess{}, GrowByDeficit{}}}
	return func(account string, wait time.Duration, load float64) bool {
		return rule.Admits(start, shares, Request{Route: route, Account: account}, &placement.Choice{PredictedTTFB: wait, Load: load})
	}
}

// Guards against giving one of two accounts over their shares less than half of what the other
// gets, for seconds, while slots are free. The prompts of one are cached or short. Those of the
// other need more than half of the latency objective for prefill, and headroom never grew for it.
func TestUnderservedAccountGetsMoreHeadroom(t *testing.T) {
	shares := &quota.Shares{Capacity: 1000}
	admits := headroomAdmits(shares, &fleet.Route{LatencyObjective: time.Second})
	demand := func(served float64) []message.Demand {
		return []message.Demand{{Account: "overserved", Rate: 5000, Served: 900}, {Account: "underserved", Rate: 900, Served: served}}
	}
	shares.SetFleetDemand(demand(880))
	require.True(t, admits("underserved", 450*time.Millisecond, 0.5))
	require.False(t, admits("underserved", 700*time.Millisecond, 0.5), "equal service: half of the latency objective")
	shares.SetFleetDemand(demand(400))
	require.True(t, admits("underserved", 900*time.Millisecond, 0.5), "the other account gets twice as much")
	require.False(t, admits("underserved", 1100*time.Millisecond, 0.5), "never more than the latency objective")
	require.False(t, admits("overserved", 450*time.Millisecond, 0.5))
}

// Guards against giving one of two accounts more than twice as much as the other if there is a
// third one. The middle account had less headroom for exceeding the third, and its deficit to the
// first did not count.
func TestMiddleAccountIsComparedWithBothOthers(t *testing.T) {
	shares := &quota.Shares{Capacity: 1000}
	admits := headroomAdmits(shares, &fleet.Route{LatencyObjective: time.Second})
	shares.SetFleetDemand([]message.Demand{
		{Account: "overserved", Rate: 5000, Served: 900}, {Account: "middle", Rate: 5000, Served: 400}, {Account: "underserved", Rate: 640, Served: 250},
	})
	require.True(t, admits("middle", 490*time.Millisecond, 0.7), "1.6 times the third account, less than half of the first")
	require.False(t, admits("overserved", 100*time.Millisecond, 0.2))
	require.True(t, admits("underserved", 990*time.Millisecond, 0.7))
	shares.SetFleetDemand([]message.Demand{
		{Account: "overserved", Rate: 5000, Served: 500}, {Account: "middle", Rate: 5000, Served: 400}, {Account: "underserved", Rate: 640, Served: 250},
	})
	require.False(t, admits("middle", 490*time.Millisecond, 0.4), "none gets much more, so headroom shrinks for the underserved account")
}

// Guards against a router that refuses all requests to an idle plain service as "targets are
// behind" until it is restarted. The router was suspended for 9 s and read all answers late. The
// learned service time exceeded every timeout, so nothing was sent and no answer corrected it.
func TestServesAfterRouterSuspension(t *testing.T) {
	const suspension = 9 * time.Second
	plain := &fleet.Route{Kind: fleet.RouteIdempotent, LatencyObjective: 500 * time.Millisecond, Timeout: 2 * time.Second, MaxAttempts: 1}
	newRequest := func(now time.Time) Request {
		return Request{Placement: placement.Request{Pool: "p"}, Route: plain, Account: "x", Deadline: now.Add(plain.Timeout), WithinShare: true}
	}
	c := newController(8)
	var running []*placement.Choice
	for range 30 {
		choice, refusal := c.Decide(start, newRequest(start))
		require.Nil(t, refusal)
		running = append(running, choice)
	}
	resumed := start.Add(suspension)
	for _, choice := range running {
		c.Placer.RecordFirstByte(resumed, choice)
		c.Placer.EndAttempt(resumed, choice, placement.Served)
	}
	choice, refusal := c.Decide(resumed, newRequest(resumed))
	require.Nil(t, refusal)
	require.Less(t, choice.PredictedTTFB, plain.LatencyObjective, "one suspension does not set the service time")

	// A service that is really slow is refused, and tried again once the estimate is old.
	const step, serviceTime = 100 * time.Millisecond, 4 * time.Second
	now := resumed.Add(time.Minute)
	sent := make(map[time.Time]*placement.Choice)
	var slowRefusal *Refusal
	for range 1000 {
		now = now.Add(step)
		if choice := sent[now.Add(-serviceTime)]; choice != nil {
			c.Placer.RecordFirstByte(now, choice)
			c.Placer.EndAttempt(now, choice, placement.Served)
		}
		if choice, slowRefusal = c.Decide(now, newRequest(now)); slowRefusal != nil {
			break
		}
		sent[now] = choice
	}
	require.NotNil(t, slowRefusal, "the service is measured to be slow")
	require.Equal(t, fleet.ReasonWaitTooLong, slowRefusal.Reason)
	later := now.Add(30 * time.Second)
	_, refusal = c.Decide(later, newRequest(later))
	require.Nil(t, refusal, "the estimate has expired")
}
