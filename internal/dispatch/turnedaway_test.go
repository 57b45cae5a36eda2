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

// Guards against a client that is told the pause of one target while others are free, and against a
// second run of a request that must run at most once.
func TestTurnedAwayRequestIsRetriedOrForwarded(t *testing.T) {
	const pause = 30 * time.Second
	for name, tt := range map[string]struct {
		claimed, notRun, othersPause bool
		wantForward, wantRetry       bool
		wantRetryIn                  time.Duration
	}{
		"repeatable":                        {wantRetry: true},
		"repeatable, not run":               {notRun: true, wantRetry: true},
		"at most once, not run":             {claimed: true, notRun: true, wantRetry: true},
		"at most once, may have run":        {claimed: true, wantForward: true, wantRetryIn: time.Second},
		"repeatable, all pause":             {othersPause: true, wantForward: true, wantRetryIn: 10 * time.Second},
		"at most once, not run, all pause":  {claimed: true, notRun: true, othersPause: true, wantRetryIn: 10 * time.Second},
		"at most once, may have, all pause": {claimed: true, othersPause: true, wantForward: true, wantRetryIn: 10 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSchedulerWithBackpressure(newConfig([]float64{1}, []int{1, 1}), 1)
			request := newRequest(1)
			if tt.claimed {
				request.ClaimKey = "key"
			}
			s.Submit(epoch, request)
			if tt.claimed {
				s.HandleClaimResult(epoch, 1, message.ClaimResult{Granted: true}, false)
			}
			sends := takeActionsOf[dispatch.Send](s)
			require.Len(t, sends, 1)
			first, other := sends[0].Target.Name, "t00"
			if first == other {
				other = "t01"
			}
			record(s, epoch, first, backpressure.Signal{Backoff: pause})
			if tt.othersPause {
				record(s, epoch, other, backpressure.Signal{Backoff: 10 * time.Second})
			}
			forward, retryAt := s.HandleTurnedAway(epoch, 1, dispatch.TurnedAway{NotRun: tt.notRun})
			require.Equal(t, tt.wantForward, forward)
			actions := s.TakeActions()
			if tt.wantForward {
				require.Equal(t, epoch.Add(tt.wantRetryIn), retryAt)
				require.False(t, s.Idle(), "the response is still to be read")
				for _, action := range actions {
					_, isSend := action.(dispatch.Send)
					require.False(t, isSend)
				}
				return
			}
			var sent []dispatch.Send
			var refused []dispatch.Refuse
			for _, action := range actions {
				switch action := action.(type) {
				case dispatch.Send:
					sent = append(sent, action)
				case dispatch.Refuse:
					refused = append(refused, action)
				case dispatch.AcquireClaim:
					require.Fail(t, "claimed again")
				}
			}
			if tt.wantRetry {
				require.Empty(t, refused)
				require.Len(t, sent, 1, "at once")
				require.Equal(t, other, sent[0].Target.Name)
				return
			}
			require.Empty(t, sent)
			require.Len(t, refused, 1)
			require.Equal(t, fleet.OutcomeNotRun, refused[0].Outcome)
			require.Equal(t, epoch.Add(tt.wantRetryIn), refused[0].RetryAt)
		})
	}
}

// Guards against retries beyond the bounds when all targets turn requests away.
func TestTurnedAwayRequestIsRetriedWithinBounds(t *testing.T) {
	s := newSchedulerWithBackpressure(newConfig([]float64{1}, []int{1, 1}), 1)
	s.Submit(epoch, newRequest(1))
	attempts := 0
	for {
		sends := takeActionsOf[dispatch.Send](s)
		if len(sends) == 0 {
			break
		}
		attempts++
		if forward, _ := s.HandleTurnedAway(epoch, 1, dispatch.TurnedAway{}); forward {
			break
		}
	}
	require.Equal(t, 3, attempts)
	s.HandleAttemptEnd(epoch, 1, dispatch.AttemptResult{Sent: true, ResponseStarted: true, ResponseComplete: true, Failed: true})
	require.True(t, s.Idle())
}
