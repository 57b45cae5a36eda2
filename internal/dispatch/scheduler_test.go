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

// newLeasedScheduler returns a scheduler with slots on each target and a lease of two seconds.
func newLeasedScheduler(config fleet.Config, slots int) *dispatch.Scheduler {
	s := &dispatch.Scheduler{Name: "r1", Incarnation: 1}
	s.HandleGrant(epoch, newGrant(config, 1, slots))
	s.TakeActions()
	return s
}

func newGrant(config fleet.Config, seq uint64, slots int) message.Grant {
	grant := message.Grant{Term: 1, Seq: seq, Incarnation: 1, ExpiresAt: epoch.Add(2 * time.Second), Number: config.Number, Config: config.JSON()}
	for _, target := range config.Targets {
		grant.Slots = append(grant.Slots, message.SlotGrant{Target: target.Name, Count: slots})
	}
	return grant
}

func newRequest(id uint64) dispatch.Request {
	return dispatch.Request{ID: id, Account: "a00", Event: "e"}
}

// takeActionsOf takes all actions and returns those of one type.
func takeActionsOf[A dispatch.Action](s *dispatch.Scheduler) []A {
	var matching []A
	for _, action := range s.TakeActions() {
		if typed, ok := action.(A); ok {
			matching = append(matching, typed)
		}
	}
	return matching
}

// Guards against a request started without a lease. The router is frozen past its lease, and the
// answer to a claim is the first event that it handles afterward.
func TestClaimGrantedAfterLeaseExpiryIsNotSent(t *testing.T) {
	s := newLeasedScheduler(newConfig([]float64{1}, []int{1}), 1)
	request := newRequest(1)
	request.ClaimKey = "key"
	s.Submit(epoch, request)
	require.Len(t, takeActionsOf[dispatch.AcquireClaim](s), 1)
	s.HandleClaimResult(epoch.Add(3*time.Second), 1, message.ClaimResult{Granted: true}, false)
	actions := s.TakeActions()
	var refused, settled bool
	for _, action := range actions {
		switch action := action.(type) {
		case dispatch.Send:
			require.Fail(t, "sent without a lease")
		case dispatch.Refuse:
			refused = true
			require.Equal(t, fleet.OutcomeNotRun, action.Outcome)
			require.False(t, action.RetryAt.IsZero())
		case dispatch.SettleClaim:
			settled = true
			require.Equal(t, message.RunStateNotRun, action.Settlement.State)
		}
	}
	require.True(t, refused)
	require.True(t, settled, "the claim is settled")
}

// Guards against final refusals by a configuration that may be out of date.
func TestRefusesNothingForGoodWithoutLease(t *testing.T) {
	unknownEvent, unknownAccount := newRequest(1), newRequest(2)
	unknownEvent.Event, unknownAccount.Account = "unknown", "unknown"
	for request, wantKind := range map[dispatch.Request]fleet.ErrorKind{
		unknownEvent: fleet.KindEventUnavailable, unknownAccount: fleet.KindAccountNotAdmitted,
	} {
		s := newLeasedScheduler(newConfig([]float64{1}, []int{1}), 1)
		s.Submit(epoch, request)
		refusals := takeActionsOf[dispatch.Refuse](s)
		require.Len(t, refusals, 1)
		require.Equal(t, wantKind, refusals[0].Err.Kind)
		require.True(t, refusals[0].RetryAt.IsZero())

		request.ID += 10
		s.Submit(epoch.Add(3*time.Second), request)
		refusals = takeActionsOf[dispatch.Refuse](s)
		require.Len(t, refusals, 1)
		require.Equal(t, fleet.KindNoLease, refusals[0].Err.Kind)
		require.False(t, refusals[0].RetryAt.IsZero())
	}
}

// Guards against the outcome "not run" for a request that ran. A repeatable request breaks off on
// one target and is retried; the refusal must cover all attempts, not only the last.
func TestRetriedRequestOutcomeIsUnknown(t *testing.T) {
	s := newLeasedScheduler(newConfig([]float64{1}, []int{1, 1}), 1)
	for id := range uint64(2) {
		s.Submit(epoch, newRequest(id+1))
	}
	sends := takeActionsOf[dispatch.Send](s)
	require.Len(t, sends, 2)
	s.HandleAttemptEnd(epoch, 1, dispatch.AttemptResult{Sent: true, Failed: true, Cost: 1})
	require.Len(t, takeActionsOf[dispatch.Send](s), 1, "it is retried")
	s.HandleAttemptEnd(epoch, 1, dispatch.AttemptResult{Failed: true}) // this attempt cannot connect
	require.Len(t, takeActionsOf[dispatch.Send](s), 1, "and again")
	s.HandleAttemptEnd(epoch, 1, dispatch.AttemptResult{Failed: true})
	refusals := takeActionsOf[dispatch.Refuse](s)
	require.Len(t, refusals, 1)
	require.Equal(t, fleet.OutcomeUnknown, refusals[0].Outcome)
}

func TestIgnoresLateAndDuplicateGrants(t *testing.T) {
	config := newConfig([]float64{1}, []int{4})
	s := newLeasedScheduler(config, 4)
	newer := newGrant(config.WithNumber(2), 3, 2)
	require.True(t, s.HandleGrant(epoch, newer))
	require.False(t, s.HandleGrant(epoch, newer), "duplicate")
	require.False(t, s.HandleGrant(epoch, newGrant(config, 2, 4)), "late")
	require.Equal(t, uint64(2), s.ConfigNumber())
	stale := newGrant(config, 9, 4)
	stale.Term = 2
	require.False(t, s.HandleGrant(epoch, stale), "an older configuration is never put in force")
	otherIncarnation := newGrant(config.WithNumber(3), 4, 4)
	otherIncarnation.Incarnation = 7
	require.False(t, s.HandleGrant(epoch, otherIncarnation), "for another incarnation of the router")
	require.Equal(t, uint64(2), s.ConfigNumber())
}

func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	config := newConfig([]float64{1}, []int{4, 4})
	s := newLeasedScheduler(config, 4)
	leavingConfig := config.WithNumber(2).WithTargetState("t00", fleet.TargetLeaving)
	require.True(t, s.HandleGrant(epoch, newGrant(leavingConfig, 2, 4)))
	grant := newGrant(leavingConfig, 3, 4)
	for id := range uint64(10) {
		s.Submit(epoch, newRequest(id+1))
	}
	for _, send := range takeActionsOf[dispatch.Send](s) {
		require.Equal(t, "t01", send.Target.Name)
	}
	grant.LeavingTargets = []string{"t01"}
	require.True(t, s.HandleGrant(epoch, grant))
	s.Submit(epoch, newRequest(99))
	require.Empty(t, takeActionsOf[dispatch.Send](s), "the platform's list of VMs also takes a target out of service")
}

func TestRefusesUnreachableDeadlineImmediately(t *testing.T) {
	s := newLeasedScheduler(newConfig([]float64{1}, []int{1}), 1)
	at := epoch
	for id := range uint64(20) {
		s.Submit(at, newRequest(id+1))
	}
	for i := range uint64(3) { // the queue drains one request per 200 ms
		at = at.Add(200 * time.Millisecond)
		s.HandleAttemptEnd(at, i+1, dispatch.AttemptResult{Sent: true, ResponseStarted: true, ResponseComplete: true, Cost: 1})
	}
	s.TakeActions()
	request := newRequest(100)
	request.Deadline = at.Add(100 * time.Millisecond)
	s.Submit(at, request)
	refusals := takeActionsOf[dispatch.Refuse](s)
	require.Len(t, refusals, 1)
	require.Equal(t, fleet.KindDeadline, refusals[0].Err.Kind)
	require.Equal(t, fleet.OutcomeNotRun, refusals[0].Outcome)
	require.True(t, refusals[0].RetryAt.After(request.Deadline))
}

func TestFullQueueRefusalNamesRetryTime(t *testing.T) {
	config := newConfig([]float64{1}, []int{1})
	config.Accounts[0].QueueLimit = 3
	s := newLeasedScheduler(config, 1)
	for id := range uint64(5) {
		s.Submit(epoch, newRequest(id+1))
	}
	refusals := takeActionsOf[dispatch.Refuse](s)
	require.Len(t, refusals, 1)
	require.Equal(t, fleet.KindQueueFull, refusals[0].Err.Kind)
	require.False(t, refusals[0].RetryAt.IsZero())
}

// Guards against retries that multiply the load while every target breaks off every request.
func TestRetriesStayWithinBudget(t *testing.T) {
	s := newLeasedScheduler(newConfig([]float64{1}, []int{500, 500}), 500)
	sends := 0
	for id := range uint64(400) {
		s.Submit(epoch, newRequest(id+1))
		for range 4 {
			for _, send := range takeActionsOf[dispatch.Send](s) {
				sends++
				s.HandleAttemptEnd(epoch, send.ID, dispatch.AttemptResult{Sent: true, Failed: false, Cost: 1})
			}
		}
	}
	// Each send earns a tenth of a retry, retries included: with n requests, s sends and 10 initial
	// retries, s = n + 10 + s/10.
	require.LessOrEqual(t, sends, (400+10)*10/9)
	require.Greater(t, sends, 400)
}

// Guards against further work for a failing target, and against sending it the full load as soon as
// the breaker's open period ends.
func TestBreakerOpensAndRecoversInSteps(t *testing.T) {
	config := newConfig([]float64{1}, []int{100})
	s := newLeasedScheduler(config, 100)
	for id := range uint64(3) {
		s.Submit(epoch, newRequest(id+1))
		s.HandleAttemptEnd(epoch, id+1, dispatch.AttemptResult{Sent: true, Failed: true, Cost: 1})
	}
	s.TakeActions()
	s.Submit(epoch, newRequest(10))
	refusals := takeActionsOf[dispatch.Refuse](s)
	require.Len(t, refusals, 1, "no target is available: refused immediately")
	require.Equal(t, epoch.Add(time.Second), refusals[0].RetryAt)
	at := epoch.Add(1100 * time.Millisecond)
	id := uint64(20)
	for step := 1; step <= 16; step *= 2 {
		for range 100 {
			id++
			s.Submit(at, newRequest(id))
		}
		sends := takeActionsOf[dispatch.Send](s)
		require.Len(t, sends, step)
		s.HandleAttemptEnd(at, sends[0].ID, dispatch.AttemptResult{Sent: true, ResponseStarted: true, ResponseComplete: true, Cost: 1})
		for _, send := range append(sends[1:], takeActionsOf[dispatch.Send](s)...) {
			s.HandleDisconnect(at, send.ID)
			s.HandleAttemptEnd(at, send.ID, dispatch.AttemptResult{Sent: true})
		}
		drain(s, at)
	}
}

// drain ends everything that waits or runs with results that leave the breaker unchanged.
func drain(s *dispatch.Scheduler, at time.Time) {
	for id := range uint64(1000) {
		s.HandleDisconnect(at, id)
	}
	for range 100 {
		sends := takeActionsOf[dispatch.Send](s)
		if len(sends) == 0 {
			return
		}
		for _, send := range sends {
			s.HandleDisconnect(at, send.ID)
			s.HandleAttemptEnd(at, send.ID, dispatch.AttemptResult{Sent: true})
		}
	}
}

func TestClientDisconnectFreesSlot(t *testing.T) {
	s := newLeasedScheduler(newConfig([]float64{1}, []int{1}), 1)
	s.Submit(epoch, newRequest(1))
	s.Submit(epoch, newRequest(2))
	s.Submit(epoch, newRequest(3))
	s.TakeActions()
	s.HandleDisconnect(epoch, 2) // waiting
	require.Len(t, takeActionsOf[dispatch.Refuse](s), 1)
	s.HandleDisconnect(epoch, 1) // running
	require.Len(t, takeActionsOf[dispatch.Cancel](s), 1)
	s.HandleAttemptEnd(epoch, 1, dispatch.AttemptResult{Sent: true, Cost: 1})
	for _, action := range s.TakeActions() {
		if send, ok := action.(dispatch.Send); ok {
			require.Equal(t, uint64(3), send.ID)
			return
		}
	}
	require.Fail(t, "the slot stays taken")
}

func TestDistantDeadlinesOfEndedRequestsAreRemoved(t *testing.T) {
	s := newLeasedScheduler(newConfig([]float64{1}, []int{1}), 1)
	for id := range uint64(20_000) {
		request := newRequest(id + 1)
		request.Deadline = epoch.AddDate(10, 0, 0)
		s.Submit(epoch, request)
		s.HandleAttemptEnd(epoch, request.ID, dispatch.AttemptResult{Sent: true, ResponseStarted: true, ResponseComplete: true, Cost: 1})
		s.TakeActions()
	}
	require.True(t, s.Idle())
	require.LessOrEqual(t, s.DeadlineCount(), 4096, "deadlines of ended requests are kept")
}

// Guards against idle slots during a leader election: requests whose claims are not answered must
// not keep their slots while requests that need no claim wait. A fleet under load lost 3 s of
// capacity to this.
func TestUnansweredClaimReleasesSlot(t *testing.T) {
	s := newLeasedScheduler(newConfig([]float64{1}, []int{1}), 1)
	nonRepeatable := newRequest(1)
	nonRepeatable.ClaimKey = "key"
	s.Submit(epoch, nonRepeatable)
	s.Submit(epoch, newRequest(2))
	require.Len(t, takeActionsOf[dispatch.AcquireClaim](s), 1)
	at := epoch.Add(150 * time.Millisecond)
	require.False(t, s.NextTick().After(at), "Tick is due when the slot must be released")
	s.Tick(at)
	sends := takeActionsOf[dispatch.Send](s)
	require.Len(t, sends, 1)
	require.Equal(t, uint64(2), sends[0].ID)
	another := newRequest(3)
	another.ClaimKey = "key-3"
	s.Submit(at, another)
	s.HandleAttemptEnd(at, 2, dispatch.AttemptResult{Sent: true, ResponseStarted: true, ResponseComplete: true, Cost: 1})
	require.Len(t, takeActionsOf[dispatch.AcquireClaim](s), 1, "it is claimed without a slot while answers are slow")
	s.Submit(at, newRequest(4))
	require.Len(t, takeActionsOf[dispatch.Send](s), 1, "the slot is free for others")
	s.HandleClaimResult(at, 1, message.ClaimResult{Granted: true}, false)
	s.HandleClaimResult(at, 3, message.ClaimResult{}, true)
	refusals := takeActionsOf[dispatch.Refuse](s)
	require.Len(t, refusals, 1)
	require.Equal(t, fleet.OutcomeNotRun, refusals[0].Outcome)
	s.HandleAttemptEnd(at, 4, dispatch.AttemptResult{Sent: true, ResponseStarted: true, ResponseComplete: true, Cost: 1})
	sends = takeActionsOf[dispatch.Send](s)
	require.Len(t, sends, 1, "claimed once, sent once")
	require.Equal(t, uint64(1), sends[0].ID)
}

// Guards against a router that runs out of memory because only the number of waiting requests is
// bounded: one account, then all of them, send bodies of 8 MiB faster than they are served.
func TestWaitingBodiesAreBoundedInBytes(t *testing.T) {
	config := newConfig(sixteenEqualShares(), []int{1})
	s := newLeasedScheduler(config, 1)
	id, waiting := uint64(0), 0
	send := func(account string) bool {
		id++
		s.Submit(epoch, dispatch.Request{ID: id, Account: account, Event: "e", BodyBytes: 8 << 20})
		for _, refusal := range takeActionsOf[dispatch.Refuse](s) {
			require.Equal(t, fleet.KindQueueFull, refusal.Err.Kind)
			require.False(t, refusal.RetryAt.IsZero())
			return false
		}
		waiting++
		return true
	}
	for send("a00") {
		require.Less(t, waiting, 100)
	}
	require.LessOrEqual(t, waiting, 1+8, "one runs, 64 MiB wait")
	require.True(t, send("a01"), "other accounts are not affected")
	for _, account := range config.Accounts {
		for send(account.Name) {
			require.Less(t, waiting, 100)
		}
	}
	require.LessOrEqual(t, waiting, 1+32, "256 MiB wait at most")
	s.HandleDisconnect(epoch, 2)
	require.NotEmpty(t, takeActionsOf[dispatch.Refuse](s))
	require.True(t, send("a00"), "removing a request frees its memory")
}

func sixteenEqualShares() []float64 {
	shares := make([]float64, 16)
	for i := range shares {
		shares[i] = 1
	}
	return shares
}
