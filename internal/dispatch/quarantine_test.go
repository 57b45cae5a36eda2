package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/dispatch"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
	"laburnumfall/internal/quarantine"
)

const suspectFingerprint quarantine.Fingerprint = "alike"

// newSchedulerWithRestriction returns a leased scheduler whose leader has restricted the suspect
// request.
func newSchedulerWithRestriction(restriction quarantine.Restriction) *dispatch.Scheduler {
	config := newConfig([]float64{1}, []int{1, 1})
	s := &dispatch.Scheduler{Name: "r1", Incarnation: 1, Guard: quarantine.Guard{Owner: message.ClaimOwner("r1", 1), IDsReused: true}}
	s.HandleGrant(epoch, newGrantWithRestriction(config, 1, 1, restriction))
	s.TakeActions()
	return s
}

func newGrantWithRestriction(config fleet.Config, seq, revision uint64, restriction quarantine.Restriction) message.Grant {
	grant := newGrant(config, seq, 1)
	grant.Restrictions = &quarantine.RestrictionUpdate{Revision: revision, Restrictions: []quarantine.Restriction{restriction}}
	return grant
}

func newSuspectRequest(id uint64) dispatch.Request {
	request := newRequest(id)
	request.Fingerprint = suspectFingerprint
	return request
}

// Guards against running a request that terminates targets, and against keeping its client waiting
// in vain. The leader has restricted the request, and the scheduler must check the restriction when
// it chooses the request for a slot.
func TestQuarantineRestrictionDecidesDispatch(t *testing.T) {
	config := newConfig([]float64{1}, []int{1, 1})
	held := quarantine.Restriction{Fingerprint: suspectFingerprint, TerminationCount: 3, NextRunIn: 5 * time.Second}

	s := newSchedulerWithRestriction(held)
	s.Submit(epoch, newSuspectRequest(1))
	refused := takeActionsOf[dispatch.Refuse](s)
	require.Len(t, refused, 1, "refused immediately")
	require.Equal(t, fleet.KindQuarantined, refused[0].Err.Kind)
	require.Equal(t, fleet.OutcomeNotRun, refused[0].Outcome)
	require.Equal(t, epoch.Add(5*time.Second), refused[0].RetryAt)
	s.Submit(epoch, newRequest(2))
	require.Len(t, takeActionsOf[dispatch.Send](s), 1, "other work goes on")

	suspected := quarantine.Restriction{Fingerprint: suspectFingerprint, TerminationCount: 2}
	s = newSchedulerWithRestriction(suspected)
	s.Submit(epoch, newSuspectRequest(1))
	require.Empty(t, takeActionsOf[dispatch.Send](s), "it waits for the leader's permit")
	s.Tick(epoch.Add(10 * time.Millisecond))
	reports := takeActionsOf[dispatch.SendReport](s)
	require.NotEmpty(t, reports)
	require.Equal(t, []quarantine.Fingerprint{suspectFingerprint}, reports[0].Report.Quarantine.PermitRequests)
	suspected.PermitHolder, suspected.PermitExpiresIn, suspected.PermitID = message.ClaimOwner("r1", 1), 20*time.Second, 1
	grant := newGrantWithRestriction(config, 2, 2, suspected)
	grant.EchoSeq = reports[0].Report.Seq
	s.HandleGrant(epoch.Add(20*time.Millisecond), grant)
	sends := takeActionsOf[dispatch.Send](s)
	require.Len(t, sends, 1)
	s.Submit(epoch.Add(30*time.Millisecond), newSuspectRequest(2))
	require.Len(t, takeActionsOf[dispatch.Refuse](s), 1, "one copy runs at a time")

	// The target closes the connection and has terminated: the next report says so.
	s.HandleAttemptEnd(epoch.Add(40*time.Millisecond), 1, dispatch.AttemptResult{Sent: true, Failed: true, TargetClosed: true})
	actions := s.TakeActions()
	probed := false
	for _, action := range actions {
		switch action := action.(type) {
		case dispatch.Probe:
			probed = true
			require.Equal(t, sends[0].Target.Name, action.Target.Name)
		case dispatch.Send:
			require.Fail(t, "a second copy runs")
		}
	}
	require.True(t, probed)
	s.HandleProbeResult(epoch.Add(50*time.Millisecond), epoch.Add(40*time.Millisecond), sends[0].Target.Name, true)
	s.Tick(epoch.Add(300 * time.Millisecond))
	reports = takeActionsOf[dispatch.SendReport](s)
	require.NotEmpty(t, reports)
	require.Len(t, reports[len(reports)-1].Report.Quarantine.Terminations, 1)
}

// Guards against a parked request that waits forever or is dropped unanswered. It gets no permit,
// or the router stops, loses its lease, or its client disconnects.
func TestParkedRequestIsAlwaysRefused(t *testing.T) {
	for name, test := range map[string]struct {
		act  func(s *dispatch.Scheduler)
		kind fleet.ErrorKind
	}{
		"no permit":          {func(s *dispatch.Scheduler) { s.Tick(epoch.Add(time.Second)) }, fleet.KindQuarantined},
		"stop":               {func(s *dispatch.Scheduler) { s.Stop(epoch.Add(time.Millisecond)) }, fleet.KindStopping},
		"no lease":           {func(s *dispatch.Scheduler) { s.Tick(epoch.Add(3 * time.Second)) }, fleet.KindNoLease},
		"client disconnects": {func(s *dispatch.Scheduler) { s.HandleDisconnect(epoch.Add(time.Millisecond), 1) }, fleet.KindCallerLeft},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSchedulerWithRestriction(quarantine.Restriction{Fingerprint: suspectFingerprint, TerminationCount: 2})
			s.Submit(epoch, newSuspectRequest(1))
			require.False(t, s.Idle())
			test.act(s)
			refused := takeActionsOf[dispatch.Refuse](s)
			require.Len(t, refused, 1)
			require.Equal(t, test.kind, refused[0].Err.Kind)
			require.Equal(t, fleet.OutcomeNotRun, refused[0].Outcome)
			require.True(t, s.Idle())
		})
	}
}

// Guards against an event that is held back because all its prompts begin alike and one of them, with the
// same start, crashes targets.
func TestPromptStartIsClearedWhileAnswered(t *testing.T) {
	s := newSchedulerWithRestriction(quarantine.Restriction{Fingerprint: suspectFingerprint, TerminationCount: 2})
	request := newRequest(1)
	request.PrefixHash = 7
	start := request.Suspects()[1]
	s.Submit(epoch, request)
	sends := takeActionsOf[dispatch.Send](s)
	require.Len(t, sends, 1)
	s.HandlePartCompletion(epoch.Add(time.Second), 1)
	s.HandleAttemptEnd(epoch.Add(5*time.Second), 1, dispatch.AttemptResult{Sent: true, Failed: true, ResponseStarted: true, TargetClosed: true})
	s.HandleProbeResult(epoch.Add(5*time.Second), epoch.Add(5*time.Second), sends[0].Target.Name, true)
	s.Tick(epoch.Add(5500 * time.Millisecond))
	reports := takeActionsOf[dispatch.SendReport](s)
	require.NotEmpty(t, reports)
	for _, report := range reports {
		require.Empty(t, report.Report.Quarantine.PartTerminations, "it had run without ending the target")
	}

	config := newConfig([]float64{1}, []int{1, 1})
	s.HandleGrant(epoch.Add(6*time.Second), newGrantWithRestriction(config, 2, 2, quarantine.Restriction{Fingerprint: start, TerminationCount: 2}))
	s.Tick(epoch.Add(7 * time.Second))
	reports = takeActionsOf[dispatch.SendReport](s)
	require.NotEmpty(t, reports)
	require.Len(t, reports[0].Report.Quarantine.Completions, 1)
	require.Equal(t, start, reports[0].Report.Quarantine.Completions[0].Fingerprint)
}

// Guards against a target that ends at the end of a response without a length, which looks complete.
func TestProbesTargetAfterUnframedResponse(t *testing.T) {
	for _, ended := range []bool{true, false} {
		s := newSchedulerWithRestriction(quarantine.Restriction{Fingerprint: suspectFingerprint, TerminationCount: 2})
		request := newRequest(1)
		request.PrefixHash = 7
		s.Submit(epoch, request)
		sends := takeActionsOf[dispatch.Send](s)
		require.Len(t, sends, 1)
		s.HandleAttemptEnd(epoch.Add(time.Second), 1, dispatch.AttemptResult{Sent: true, ResponseStarted: true, ResponseComplete: true, Succeeded: true, Unframed: true})
		require.Len(t, takeActionsOf[dispatch.Probe](s), 1)
		s.HandleProbeResult(epoch.Add(time.Second), epoch.Add(time.Second), sends[0].Target.Name, ended)
		s.Tick(epoch.Add(1500 * time.Millisecond))
		reports := takeActionsOf[dispatch.SendReport](s)
		require.NotEmpty(t, reports)
		require.Equal(t, ended, len(reports[0].Report.Quarantine.PartTerminations) == 1)
	}
}
