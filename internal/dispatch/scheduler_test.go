package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/dispatch"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
)

var epoch = time.Unix(1e9, 0)

// leased returns a router with slots on each target and a lease of two seconds.
func leased(c fleet.Config, slots int) *dispatch.Scheduler {
	s := &dispatch.Scheduler{Name: "r1", Incarnation: 1}
	s.HandleGrant(epoch, grantOf(c, 1, slots))
	s.TakeActions()
	return s
}

func grantOf(c fleet.Config, seq uint64, slots int) message.Grant {
	g := message.Grant{Term: 1, Seq: seq, Incarnation: 1, ExpiresAt: epoch.Add(2 * time.Second), Number: c.Number, Config: c.JSON()}
	for _, t := range c.Targets {
		g.Slots = append(g.Slots, message.SlotGrant{Target: t.Name, Count: slots})
	}
	return g
}

func request1(id uint64) dispatch.Request {
	return dispatch.Request{ID: id, Account: "a00", Event: "e"}
}

// find returns the actions of a type.
func find[A dispatch.Action](s *dispatch.Scheduler) []A {
	var list []A
	for _, a := range s.TakeActions() {
		if a, ok := a.(A); ok {
			list = append(list, a)
		}
	}
	return list
}

// Symptom: a router that was frozen starts a request without a lease.
// Sequence: it claims; it is frozen past its lease; it wakes, and the claim's
// answer is the first thing that it sees.
// Cause: the lease was looked up before the claim only.
func TestClaimAnsweredAfterLeaseIsNotSent(t *testing.T) {
	s := leased(configOf([]float64{1}, []int{1}), 1)
	r := request1(1)
	r.ClaimKey = "key"
	s.Submit(epoch, r)
	require.Len(t, find[dispatch.AcquireClaim](s), 1)
	s.HandleClaimResult(epoch.Add(3*time.Second), 1, message.ClaimResult{Granted: true}, false)
	actions := s.TakeActions()
	var refused, settled bool
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.Send:
			require.Fail(t, "sent without a lease")
		case dispatch.Refuse:
			refused = true
			require.Equal(t, fleet.OutcomeNotRun, a.Outcome)
			require.False(t, a.RetryAt.IsZero())
		case dispatch.SettleClaim:
			settled = true
			require.Equal(t, message.RunStateNotRun, a.Settlement.State)
		}
	}
	require.True(t, refused)
	require.True(t, settled, "the key is released")
}

// Symptom: a caller told "unrun" finds that its request ran.
// Sequence: a repeatable request breaks off on one target; while it waits for
// another, the lease lapses.
// Cause: the answer speaks of the last try only.
func TestRetriedRequestIsNeverToldUnrun(t *testing.T) {
	s := leased(configOf([]float64{1}, []int{1, 1}), 1)
	for id := range uint64(2) {
		s.Submit(epoch, request1(id+1))
	}
	sends := find[dispatch.Send](s)
	require.Len(t, sends, 2)
	s.HandleAttemptEnd(epoch, 1, dispatch.AttemptResult{Sent: true, Failed: true, Cost: 1})
	require.Len(t, find[dispatch.Send](s), 1, "it is tried again")
	s.HandleAttemptEnd(epoch, 1, dispatch.AttemptResult{Failed: true}) // no connection this time
	require.Len(t, find[dispatch.Send](s), 1, "and again")
	s.HandleAttemptEnd(epoch, 1, dispatch.AttemptResult{Failed: true})
	refusals := find[dispatch.Refuse](s)
	require.Len(t, refusals, 1)
	require.Equal(t, fleet.OutcomeUnknown, refusals[0].Outcome)
}

func TestLateAndDoubledGrantsChangeNothing(t *testing.T) {
	c := configOf([]float64{1}, []int{4})
	s := leased(c, 4)
	newer := grantOf(c.WithNumber(2), 3, 2)
	require.True(t, s.HandleGrant(epoch, newer))
	require.False(t, s.HandleGrant(epoch, newer), "doubled")
	require.False(t, s.HandleGrant(epoch, grantOf(c, 2, 4)), "late")
	require.Equal(t, uint64(2), s.ConfigNumber())
	stale := grantOf(c, 9, 4)
	stale.Term = 2
	require.False(t, s.HandleGrant(epoch, stale), "an older configuration is never put in force")
	other := grantOf(c.WithNumber(3), 4, 4)
	other.Incarnation = 7
	require.False(t, s.HandleGrant(epoch, other), "meant for a former self")
	require.Equal(t, uint64(2), s.ConfigNumber())
}

func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	c := configOf([]float64{1}, []int{4, 4})
	s := leased(c, 4)
	leaving := c.WithNumber(2).WithTargetState("t00", fleet.TargetLeaving)
	require.True(t, s.HandleGrant(epoch, grantOf(leaving, 2, 4)))
	gone := grantOf(leaving, 3, 4)
	for id := range uint64(10) {
		s.Submit(epoch, request1(id+1))
	}
	for _, a := range find[dispatch.Send](s) {
		require.Equal(t, "t01", a.Target.Name)
	}
	gone.LeavingTargets = []string{"t01"}
	require.True(t, s.HandleGrant(epoch, gone))
	s.Submit(epoch, request1(99))
	require.Empty(t, find[dispatch.Send](s), "the platform's list takes it out too")
}

func TestDeadlineThatCannotBeMetIsAnsweredAtOnce(t *testing.T) {
	s := leased(configOf([]float64{1}, []int{1}), 1)
	at := epoch
	for id := range uint64(20) {
		s.Submit(at, request1(id+1))
	}
	for i := range uint64(3) { // drains one in 200 ms
		at = at.Add(200 * time.Millisecond)
		s.HandleAttemptEnd(at, i+1, dispatch.AttemptResult{Sent: true, ResponseStarted: true, ResponseComplete: true, Cost: 1})
	}
	s.TakeActions()
	r := request1(100)
	r.Deadline = at.Add(100 * time.Millisecond)
	s.Submit(at, r)
	refusals := find[dispatch.Refuse](s)
	require.Len(t, refusals, 1)
	require.Equal(t, fleet.KindDeadline, refusals[0].Err.Kind)
	require.Equal(t, fleet.OutcomeNotRun, refusals[0].Outcome)
	require.True(t, refusals[0].RetryAt.After(r.Deadline))
}

func TestFullQueueSaysWhenToComeBack(t *testing.T) {
	c := configOf([]float64{1}, []int{1})
	c.Accounts[0].QueueLimit = 3
	s := leased(c, 1)
	for id := range uint64(5) {
		s.Submit(epoch, request1(id+1))
	}
	refusals := find[dispatch.Refuse](s)
	require.Len(t, refusals, 1)
	require.Equal(t, fleet.KindQueueFull, refusals[0].Err.Kind)
	require.False(t, refusals[0].RetryAt.IsZero())
}

// Symptom: retries multiply a failure.
// Sequence: every target breaks every request off.
// Cause: retries without a budget.
func TestRetriesStayWithinTheirBudget(t *testing.T) {
	s := leased(configOf([]float64{1}, []int{500, 500}), 500)
	sends := 0
	for id := range uint64(400) {
		s.Submit(epoch, request1(id+1))
		for range 4 {
			for _, a := range find[dispatch.Send](s) {
				sends++
				s.HandleAttemptEnd(epoch, a.ID, dispatch.AttemptResult{Sent: true, Failed: false, Cost: 1})
			}
		}
	}
	// Each send earns a tenth of a retry, retries included: n + 10 + s/10 = s.
	require.LessOrEqual(t, sends, (400+10)*10/9)
	require.Greater(t, sends, 400)
}

// Symptom: work goes on to a target that fails, or all of it returns at once.
// Sequence: a target fails; after the pause it works again.
// Cause: no memory of failures, or trust that returns in one step.
func TestBreakerPausesAndReturnsInSteps(t *testing.T) {
	c := configOf([]float64{1}, []int{100})
	s := leased(c, 100)
	for id := range uint64(3) {
		s.Submit(epoch, request1(id+1))
		s.HandleAttemptEnd(epoch, id+1, dispatch.AttemptResult{Sent: true, Failed: true, Cost: 1})
	}
	s.TakeActions()
	s.Submit(epoch, request1(10))
	refusals := find[dispatch.Refuse](s)
	require.Len(t, refusals, 1, "no target is left: answered at once")
	require.Equal(t, epoch.Add(time.Second), refusals[0].RetryAt)
	at := epoch.Add(1100 * time.Millisecond)
	id := uint64(20)
	for step := 1; step <= 16; step *= 2 {
		for range 100 {
			id++
			s.Submit(at, request1(id))
		}
		sends := find[dispatch.Send](s)
		require.Len(t, sends, step)
		s.HandleAttemptEnd(at, sends[0].ID, dispatch.AttemptResult{Sent: true, ResponseStarted: true, ResponseComplete: true, Cost: 1})
		for _, a := range append(sends[1:], find[dispatch.Send](s)...) {
			s.HandleDisconnect(at, a.ID)
			s.HandleAttemptEnd(at, a.ID, dispatch.AttemptResult{Sent: true})
		}
		drain(s, at)
	}
}

// drain ends everything that waits or runs without telling the breaker.
func drain(s *dispatch.Scheduler, at time.Time) {
	for id := range uint64(1000) {
		s.HandleDisconnect(at, id)
	}
	for range 100 {
		sends := find[dispatch.Send](s)
		if len(sends) == 0 {
			return
		}
		for _, a := range sends {
			s.HandleDisconnect(at, a.ID)
			s.HandleAttemptEnd(at, a.ID, dispatch.AttemptResult{Sent: true})
		}
	}
}

func TestCallerThatLeavesFreesItsSlot(t *testing.T) {
	s := leased(configOf([]float64{1}, []int{1}), 1)
	s.Submit(epoch, request1(1))
	s.Submit(epoch, request1(2))
	s.Submit(epoch, request1(3))
	s.TakeActions()
	s.HandleDisconnect(epoch, 2) // waits
	require.Len(t, find[dispatch.Refuse](s), 1)
	s.HandleDisconnect(epoch, 1) // runs
	require.Len(t, find[dispatch.Cancel](s), 1)
	s.HandleAttemptEnd(epoch, 1, dispatch.AttemptResult{Sent: true, Cost: 1})
	for _, a := range s.TakeActions() {
		if send, ok := a.(dispatch.Send); ok {
			require.Equal(t, uint64(3), send.ID)
			return
		}
	}
	require.Fail(t, "the slot stays taken")
}

func TestDeadlinesFarAheadDoNotPileUp(t *testing.T) {
	s := leased(configOf([]float64{1}, []int{1}), 1)
	for id := range uint64(20_000) {
		r := request1(id + 1)
		r.Deadline = epoch.AddDate(10, 0, 0)
		s.Submit(epoch, r)
		s.HandleAttemptEnd(epoch, r.ID, dispatch.AttemptResult{Sent: true, ResponseStarted: true, ResponseComplete: true, Cost: 1})
		s.TakeActions()
	}
	require.True(t, s.Idle())
	require.LessOrEqual(t, s.DeadlineCount(), 4096, "deadlines remembered of requests long ended")
}

// Symptom: at a change of leader all slots stand still, though most requests
// need no claim (a fleet under load lost 3 s of its capacity).
// Sequence: requests that may not be repeated hold slots while their claims get
// no answer; the others wait behind them.
// Cause: a slot is taken before the claim and kept however long it takes.
func TestClaimWithoutAnswerLetsItsSlotGo(t *testing.T) {
	s := leased(configOf([]float64{1}, []int{1}), 1)
	never := request1(1)
	never.ClaimKey = "key"
	s.Submit(epoch, never)
	s.Submit(epoch, request1(2))
	require.Len(t, find[dispatch.AcquireClaim](s), 1)
	at := epoch.Add(150 * time.Millisecond)
	require.False(t, s.NextTick().After(at), "it wants to be woken for it")
	s.Tick(at)
	sends := find[dispatch.Send](s)
	require.Len(t, sends, 1)
	require.Equal(t, uint64(2), sends[0].ID)
	another := request1(3)
	another.ClaimKey = "key-3"
	s.Submit(at, another)
	s.HandleAttemptEnd(at, 2, dispatch.AttemptResult{Sent: true, ResponseStarted: true, ResponseComplete: true, Cost: 1})
	require.Len(t, find[dispatch.AcquireClaim](s), 1, "it is claimed without a slot while answers are slow")
	s.Submit(at, request1(4))
	require.Len(t, find[dispatch.Send](s), 1, "the slot is free for others")
	s.HandleClaimResult(at, 1, message.ClaimResult{Granted: true}, false)
	s.HandleClaimResult(at, 3, message.ClaimResult{}, true)
	refusals := find[dispatch.Refuse](s)
	require.Len(t, refusals, 1)
	require.Equal(t, fleet.OutcomeNotRun, refusals[0].Outcome)
	s.HandleAttemptEnd(at, 4, dispatch.AttemptResult{Sent: true, ResponseStarted: true, ResponseComplete: true, Cost: 1})
	sends = find[dispatch.Send](s)
	require.Len(t, sends, 1, "claimed once, sent once")
	require.Equal(t, uint64(1), sends[0].ID)
}

// Symptom: a router runs out of memory under large requests.
// Sequence: an account sends bodies of 8 MiB faster than they are served; then
// every account does.
// Cause: a bound on the number of waiting requests only.
func TestWaitingBodiesAreBoundedInBytes(t *testing.T) {
	c := configOf(make16(), []int{1})
	s := leased(c, 1)
	id, waiting := uint64(0), 0
	send := func(account string) bool {
		id++
		s.Submit(epoch, dispatch.Request{ID: id, Account: account, Event: "e", BodyBytes: 8 << 20})
		for _, r := range find[dispatch.Refuse](s) {
			require.Equal(t, fleet.KindQueueFull, r.Err.Kind)
			require.False(t, r.RetryAt.IsZero())
			return false
		}
		waiting++
		return true
	}
	for send("a00") {
		require.Less(t, waiting, 100)
	}
	require.LessOrEqual(t, waiting, 1+8, "one runs, 64 MiB wait")
	require.True(t, send("a01"), "others are not kept out by it")
	for _, a := range c.Accounts {
		for send(a.Name) {
			require.Less(t, waiting, 100)
		}
	}
	require.LessOrEqual(t, waiting, 1+32, "256 MiB wait at the most")
	s.HandleDisconnect(epoch, 2)
	require.NotEmpty(t, find[dispatch.Refuse](s))
	require.True(t, send("a00"), "room is given back")
}

func make16() []float64 {
	list := make([]float64, 16)
	for i := range list {
		list[i] = 1
	}
	return list
}
