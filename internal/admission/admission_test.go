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

// desk returns the decisions of a router before one engine of a number of slots.
func desk(slots int) Controller {
	d := NewController(&placement.Placer{Routers: 1}, &quota.Shares{Capacity: 1000})
	d.Placer.SetPools(map[string]fleet.Pool{"p": {Engine: &fleet.Engine{}}})
	d.Placer.SetTargets(start, []fleet.Instance{{Incarnation: fleet.Incarnation{ID: "a"}, Pool: "p", Slots: slots}})
	return d
}

var route = &fleet.Route{Kind: fleet.RouteStream, Aim: time.Second, Timeout: 10 * time.Second, Pause: 300 * time.Millisecond, Attempts: 1, Cached: true}

func request(tokens int) Request {
	return Request{
		Placement: placement.Request{Pool: "p", Parts: []placement.PromptPart{{ID: 1, Tokens: tokens}}}, Route: route, Account: "x",
		Cost: float64(tokens), Deadline: start.Add(route.Timeout),
	}
}

func TestWhatIsRefusedAndWhenItMayComeBack(t *testing.T) {
	within := func(r Request) Request { r.WithinShare = true; return r }
	for name, c := range map[string]struct {
		before int // tokens that wait at the engine
		with   Request
		want   fleet.Reason
		least  time.Duration
		most   time.Duration
	}{
		"room":                       {0, request(100), "", 0, 0},
		"within its share, late":     {45000, within(request(100)), "", 0, 0},
		"within, but would leave":    {120000, within(request(100)), fleet.ReasonBehind, time.Second, 5 * time.Second},
		"beyond its share, no room":  {30000, request(100), fleet.ReasonOverShare, MinRetryAfter, route.Aim / backPart},
		"beyond, but was sent":       {30000, func() Request { r := request(100); r.SentBefore = true; return r }(), "", 0, 0},
		"surplus of a plain service": {0, func() Request { r := request(0); r.Throttled = true; return r }(), fleet.ReasonCrowded, NoCapacityRetryAfter, NoCapacityRetryAfter},
		"no target":                  {0, func() Request { r := request(1); r.Placement.Pool = "q"; return r }(), fleet.ReasonNoTarget, NoCapacityRetryAfter, NoCapacityRetryAfter},
	} {
		t.Run(name, func(t *testing.T) {
			d := desk(64)
			const piece = 5000 // tokens
			for left := c.before; left > 0; left -= piece {
				_, no := d.Decide(start, within(request(piece)))
				require.Nil(t, no)
			}
			choice, no := d.Decide(start, c.with)
			if c.want == "" {
				require.Nil(t, no)
				require.Equal(t, "a", choice.Target.ID)
				return
			}
			require.NotNil(t, no)
			require.Equal(t, c.want, no.Reason)
			require.GreaterOrEqual(t, no.RetryAfter, c.least)
			require.LessOrEqual(t, no.RetryAfter, c.most)
		})
	}
}

// Symptom: half of the answers that come late were refused first, and their callers came
// back only after the time in which the answer was wanted.
// Sequence: an account beyond its share is refused; it is told to come back once its share
// is saved up, up to two seconds later; engines had room again long before.
// Cause: the time to come back looked at the account's share alone.
func TestARefusedCallerMayComeBackInTime(t *testing.T) {
	d := desk(64)
	_, no := d.Decide(start, func() Request { r := request(30000); r.WithinShare = true; return r }())
	require.Nil(t, no)
	d.Shares.CountRequest(start, "x", 5000)
	d.Shares.Spend(start, "x", 5000)
	require.Greater(t, d.Shares.RefillTime(start, "x"), route.Aim)
	_, no = d.Decide(start, request(100))
	require.Equal(t, fleet.ReasonOverShare, no.Reason)
	require.LessOrEqual(t, no.RetryAfter, route.Aim/backPart)
}

// roomOf returns whether the rule of room lets an account's request in by its wait and the
// target's load.
func roomOf(s *quota.Shares, route *fleet.Route) func(account string, wait time.Duration, load float64) bool {
	rule := Headroom{Scales: []HeadroomScale{ShrinkByExcess{}, GrowByDeficit{}}}
	return func(account string, wait time.Duration, load float64) bool {
		return rule.Admits(start, s, Request{Route: route, Account: account}, &placement.Choice{PredictedTTFB: wait, Load: load})
	}
}

// Symptom: of two accounts that ask for more than their shares, one gets under half of
// what the other gets, for seconds, while engines have slots free.
// Sequence: one's prompts are kept or short, the other's must be read, which takes more
// than half of the aim.
// Cause: room was the same for both, or less for the one that has more, never more for
// the one that has less.
func TestTheAccountThatHasLessFindsMoreRoom(t *testing.T) {
	shares := &quota.Shares{Capacity: 1000}
	room := roomOf(shares, &fleet.Route{Aim: time.Second})
	demand := func(served float64) []message.Demand {
		return []message.Demand{{Account: "well", Rate: 5000, Served: 900}, {Account: "ill", Rate: 900, Served: served}}
	}
	shares.SetFleetDemand(demand(880))
	require.True(t, room("ill", 450*time.Millisecond, 0.5))
	require.False(t, room("ill", 700*time.Millisecond, 0.5), "both have the same: half of the aim")
	shares.SetFleetDemand(demand(400))
	require.True(t, room("ill", 900*time.Millisecond, 0.5), "the other one has twice as much")
	require.False(t, room("ill", 1100*time.Millisecond, 0.5), "never beyond the aim")
	require.False(t, room("well", 450*time.Millisecond, 0.5))
}

// Symptom: one of two accounts that both want more gets over twice as much.
// Sequence: a third, smaller one lacks service as well; the one with less is served more
// than the third.
// Cause: having more than the third, it found less room, and that it had less than the
// other one did not count.
func TestAnAccountBetweenTwoOthersIsHeldAgainstBoth(t *testing.T) {
	shares := &quota.Shares{Capacity: 1000}
	room := roomOf(shares, &fleet.Route{Aim: time.Second})
	shares.SetFleetDemand([]message.Demand{
		{Account: "well", Rate: 5000, Served: 900}, {Account: "middle", Rate: 5000, Served: 400}, {Account: "ill", Rate: 640, Served: 250},
	})
	require.True(t, room("middle", 490*time.Millisecond, 0.7), "1.6 times what one has, less than half of another")
	require.False(t, room("well", 100*time.Millisecond, 0.2))
	require.True(t, room("ill", 990*time.Millisecond, 0.7))
	shares.SetFleetDemand([]message.Demand{
		{Account: "well", Rate: 5000, Served: 500}, {Account: "middle", Rate: 5000, Served: 400}, {Account: "ill", Rate: 640, Served: 250},
	})
	require.False(t, room("middle", 490*time.Millisecond, 0.4), "nobody has much more: it yields to who lacks")
}

// Symptom: a router refuses every request to a plain service as "targets are behind" until it
// is started again, while the service idles.
// Sequence: the router stands still for nine seconds with requests in progress; their answers
// are read when it wakes.
// Cause: the time that these seemed to take was believed of the service. It was longer than
// any caller waits, so nothing was sent, and nothing showed otherwise.
func TestARouterThatStoodStillServesAgain(t *testing.T) {
	const stood = 9 * time.Second
	plain := &fleet.Route{Kind: fleet.RouteIdempotent, Aim: 500 * time.Millisecond, Timeout: 2 * time.Second, Attempts: 1}
	ask := func(now time.Time) Request {
		return Request{Placement: placement.Request{Pool: "p"}, Route: plain, Account: "x", Deadline: now.Add(plain.Timeout), WithinShare: true}
	}
	d := desk(8)
	var running []*placement.Choice
	for range 30 {
		c, no := d.Decide(start, ask(start))
		require.Nil(t, no)
		running = append(running, c)
	}
	woken := start.Add(stood)
	for _, c := range running {
		d.Placer.RecordFirstByte(woken, c)
		d.Placer.EndAttempt(woken, c, placement.Served)
	}
	c, no := d.Decide(woken, ask(woken))
	require.Nil(t, no)
	require.Less(t, c.PredictedTTFB, plain.Aim, "one standstill is not how long it takes")

	// A service that is slow indeed is believed, and tried again once nobody knows any more.
	const step, work = 100 * time.Millisecond, 4 * time.Second
	now := woken.Add(time.Minute)
	sent := make(map[time.Time]*placement.Choice)
	var slow *Refusal
	for range 1000 {
		now = now.Add(step)
		if c := sent[now.Add(-work)]; c != nil {
			d.Placer.RecordFirstByte(now, c)
			d.Placer.EndAttempt(now, c, placement.Served)
		}
		if c, slow = d.Decide(now, ask(now)); slow != nil {
			break
		}
		sent[now] = c
	}
	require.NotNil(t, slow, "it is known to be slow")
	require.Equal(t, fleet.ReasonBehind, slow.Reason)
	later := now.Add(30 * time.Second)
	_, no = d.Decide(later, ask(later))
	require.Nil(t, no, "that was long ago")
}
