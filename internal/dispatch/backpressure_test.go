package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/backpressure"
	"laburnumfall/internal/dispatch"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
)

func newSchedulerWithBackpressure(config fleet.Config, slots int) *dispatch.Scheduler {
	s := &dispatch.Scheduler{Name: "r1", Incarnation: 1, Backpressure: &backpressure.Tracker{ByAddress: true}}
	s.HandleGrant(epoch, newGrant(config, 1, slots))
	s.TakeActions()
	return s
}

// record records a signal of a target of newConfig.
func record(s *dispatch.Scheduler, now time.Time, name string, signal backpressure.Signal) {
	for _, target := range newConfig([]float64{1}, []int{1, 1}).Targets {
		if target.Name == name {
			s.Backpressure.Record(now, target.Instance(), signal)
		}
	}
}

// Guards against requests to a target that wants none, and against forgetting that with a new
// configuration or the grant of another leader.
func TestEventAvoidsTargetsThatBackOffOrLeave(t *testing.T) {
	for name, signal := range map[string]backpressure.Signal{"backoff": {Backoff: 10 * time.Second}, "leaving": {Leaving: true}} {
		t.Run(name, func(t *testing.T) {
			config := newConfig([]float64{1}, []int{8, 8})
			s := newSchedulerWithBackpressure(config, 8)
			record(s, epoch, "t00", signal)
			id := uint64(0)
			requireOthersOnly := func() {
				for range 4 {
					id++
					s.Submit(epoch, newRequest(id))
					sends := takeActionsOf[dispatch.Send](s)
					require.Len(t, sends, 1)
					require.Equal(t, "t01", sends[0].Target.Name)
					s.HandleAttemptEnd(epoch, id, dispatch.AttemptResult{Sent: true, ResponseStarted: true, ResponseComplete: true})
					s.TakeActions()
				}
			}
			requireOthersOnly()
			grant := newGrant(config.WithNumber(2), 1, 8)
			grant.Term = 2
			require.True(t, s.HandleGrant(epoch, grant))
			requireOthersOnly()
		})
	}
}

// Guards against requests that wait while all targets of their event want none.
func TestRequestsAreRefusedWhileAllTargetsBackOff(t *testing.T) {
	s := newSchedulerWithBackpressure(newConfig([]float64{1}, []int{1, 1}), 1)
	for id := range uint64(4) {
		s.Submit(epoch, newRequest(id+1))
	}
	require.Len(t, takeActionsOf[dispatch.Send](s), 2, "two requests wait")
	record(s, epoch, "t00", backpressure.Signal{Backoff: 1500 * time.Millisecond})
	record(s, epoch, "t01", backpressure.Signal{Backoff: time.Second})
	s.Tick(epoch)
	refusals := takeActionsOf[dispatch.Refuse](s)
	require.Len(t, refusals, 2)
	s.Submit(epoch, newRequest(5))
	refusals = append(refusals, takeActionsOf[dispatch.Refuse](s)...)
	require.Len(t, refusals, 3)
	for _, refusal := range refusals {
		require.Equal(t, fleet.OutcomeNotRun, refusal.Outcome)
		require.Equal(t, epoch.Add(time.Second), refusal.RetryAt)
	}
	for id := range uint64(2) {
		s.HandleAttemptEnd(epoch, id+1, dispatch.AttemptResult{Sent: true, ResponseStarted: true, ResponseComplete: true})
	}
	s.Submit(epoch.Add(time.Second), newRequest(6))
	require.Len(t, takeActionsOf[dispatch.Send](s), 1, "one of them takes requests again")
}

// Guards against a request that is sent after its claim took long, to a target that wants none since.
func TestClaimedRequestAvoidsTargetThatBacksOff(t *testing.T) {
	s := newSchedulerWithBackpressure(newConfig([]float64{1}, []int{1, 1}), 1)
	request := newRequest(1)
	request.ClaimKey = "key"
	s.Submit(epoch, request)
	require.Len(t, takeActionsOf[dispatch.AcquireClaim](s), 1)
	record(s, epoch, "t00", backpressure.Signal{Backoff: time.Second})
	record(s, epoch, "t01", backpressure.Signal{Leaving: true})
	s.HandleClaimResult(epoch, 1, message.ClaimResult{Granted: true}, false)
	require.Empty(t, takeActionsOf[dispatch.Send](s))
	s.HandleGrant(epoch.Add(time.Second), newGrant(newConfig([]float64{1}, []int{1, 1}), 2, 1))
	sends := takeActionsOf[dispatch.Send](s)
	require.Len(t, sends, 1)
	require.Equal(t, "t00", sends[0].Target.Name)
}

// Guards against a request that is lost because its target wanted none when the connection was open.
func TestUnsentRequestGoesElsewhereOrIsRefused(t *testing.T) {
	s := newSchedulerWithBackpressure(newConfig([]float64{1}, []int{1, 1}), 1)
	s.Submit(epoch, newRequest(1))
	first := takeActionsOf[dispatch.Send](s)[0].Target.Name
	record(s, epoch, first, backpressure.Signal{Backoff: time.Second})
	s.HandleAttemptEnd(epoch, 1, dispatch.AttemptResult{})
	second := takeActionsOf[dispatch.Send](s)
	require.Len(t, second, 1)
	require.NotEqual(t, first, second[0].Target.Name)
	record(s, epoch, second[0].Target.Name, backpressure.Signal{Backoff: 2 * time.Second})
	s.HandleAttemptEnd(epoch, 1, dispatch.AttemptResult{})
	refusals := takeActionsOf[dispatch.Refuse](s)
	require.Len(t, refusals, 1)
	require.Equal(t, fleet.OutcomeNotRun, refusals[0].Outcome)
	require.Equal(t, epoch.Add(time.Second), refusals[0].RetryAt)
}

// Guards against a router that ends because a target signals backpressure on a route of the same router
// between two looks at it.
func TestSignalDuringChoiceKeepsRequest(t *testing.T) {
	config := newConfig([]float64{1}, []int{1})
	s := newSchedulerWithBackpressure(config, 1)
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			default:
			}
			record(s, epoch, "t00", backpressure.Signal{Backoff: time.Second})
			s.Backpressure.SetTargets(epoch.Add(time.Hour), nil) // the signal has expired
		}
	}()
	for id := range uint64(20_000) {
		s.Submit(epoch, newRequest(id+1))
		s.HandleAttemptEnd(epoch, id+1, dispatch.AttemptResult{Sent: true, ResponseStarted: true, ResponseComplete: true})
		s.HandleDisconnect(epoch, id+1)
		s.TakeActions()
	}
	close(stop)
	<-stopped
	s.Submit(epoch.Add(time.Second), newRequest(1<<40))
	require.Len(t, takeActionsOf[dispatch.Send](s), 1)
}
