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

const heldPrint quarantine.Fingerprint = "alike"

// guarded returns a router whose leader rules on a request.
func guarded(r quarantine.Restriction) *dispatch.Scheduler {
	c := configOf([]float64{1}, []int{1, 1})
	s := &dispatch.Scheduler{Name: "r1", Incarnation: 1, Guard: quarantine.Guard{Owner: message.ClaimOwner("r1", 1), IDsReused: true}}
	s.HandleGrant(epoch, ruledGrant(c, 1, 1, r))
	s.TakeActions()
	return s
}

func ruledGrant(c fleet.Config, seq, revision uint64, r quarantine.Restriction) message.Grant {
	g := grantOf(c, seq, 1)
	g.Restrictions = &quarantine.RestrictionUpdate{Revision: revision, Restrictions: []quarantine.Restriction{r}}
	return g
}

func alike(id uint64) dispatch.Request {
	r := request1(id)
	r.Fingerprint = heldPrint
	return r
}

// Symptom: a request that ends targets runs again, or its caller waits for nothing.
// Sequence: the leader has ruled on it; it comes to a router of an event.
// Cause: the ruling is not asked for when a slot is chosen.
func TestAnEventsRequestGoesByTheLeadersRuling(t *testing.T) {
	c := configOf([]float64{1}, []int{1, 1})
	held := quarantine.Restriction{Fingerprint: heldPrint, TerminationCount: 3, NextRunIn: 5 * time.Second}

	s := guarded(held)
	s.Submit(epoch, alike(1))
	refused := find[dispatch.Refuse](s)
	require.Len(t, refused, 1, "at once")
	require.Equal(t, fleet.KindQuarantined, refused[0].Err.Kind)
	require.Equal(t, fleet.OutcomeNotRun, refused[0].Outcome)
	require.Equal(t, epoch.Add(5*time.Second), refused[0].RetryAt)
	s.Submit(epoch, request1(2))
	require.Len(t, find[dispatch.Send](s), 1, "other work goes on")

	suspected := quarantine.Restriction{Fingerprint: heldPrint, TerminationCount: 2}
	s = guarded(suspected)
	s.Submit(epoch, alike(1))
	require.Empty(t, find[dispatch.Send](s), "it waits for the leader's word")
	s.Tick(epoch.Add(10 * time.Millisecond))
	reports := find[dispatch.SendReport](s)
	require.NotEmpty(t, reports)
	require.Equal(t, []quarantine.Fingerprint{heldPrint}, reports[0].Report.Quarantine.PermitRequests)
	suspected.PermitHolder, suspected.PermitExpiresIn, suspected.PermitID = message.ClaimOwner("r1", 1), 20*time.Second, 1
	s.HandleGrant(epoch.Add(20*time.Millisecond), ruledGrant(c, 2, 2, suspected))
	sends := find[dispatch.Send](s)
	require.Len(t, sends, 1)
	s.Submit(epoch.Add(30*time.Millisecond), alike(2))
	require.Len(t, find[dispatch.Refuse](s), 1, "one at a time")

	// Its target cuts it and has ended: the leader hears of it.
	s.HandleAttemptEnd(epoch.Add(40*time.Millisecond), 1, dispatch.AttemptResult{Sent: true, Failed: true, TargetClosed: true})
	actions := s.TakeActions()
	probed := false
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.Probe:
			probed = true
			require.Equal(t, sends[0].Target.Name, a.Target.Name)
		case dispatch.Send:
			require.Fail(t, "a second copy runs")
		}
	}
	require.True(t, probed)
	s.HandleProbeResult(epoch.Add(50*time.Millisecond), epoch.Add(40*time.Millisecond), sends[0].Target.Name, true)
	s.Tick(epoch.Add(300 * time.Millisecond))
	reports = find[dispatch.SendReport](s)
	require.NotEmpty(t, reports)
	require.Len(t, reports[len(reports)-1].Report.Quarantine.Terminations, 1)
}

// Symptom: a caller waits for the leader's word for ever, or finds that a stop has cut it.
// Sequence: nobody rules on a parked request; its router is stopped, loses its lease, or its
// caller leaves.
func TestAParkedRequestEnds(t *testing.T) {
	for name, tt := range map[string]struct {
		do   func(s *dispatch.Scheduler)
		kind fleet.ErrorKind
	}{
		"no word":     {func(s *dispatch.Scheduler) { s.Tick(epoch.Add(time.Second)) }, fleet.KindQuarantined},
		"stop":        {func(s *dispatch.Scheduler) { s.Stop(epoch.Add(time.Millisecond)) }, fleet.KindStopping},
		"no lease":    {func(s *dispatch.Scheduler) { s.Tick(epoch.Add(3 * time.Second)) }, fleet.KindNoLease},
		"caller left": {func(s *dispatch.Scheduler) { s.HandleDisconnect(epoch.Add(time.Millisecond), 1) }, fleet.KindCallerLeft},
	} {
		t.Run(name, func(t *testing.T) {
			s := guarded(quarantine.Restriction{Fingerprint: heldPrint, TerminationCount: 2})
			s.Submit(epoch, alike(1))
			require.False(t, s.Idle())
			tt.do(s)
			refused := find[dispatch.Refuse](s)
			require.Len(t, refused, 1)
			require.Equal(t, tt.kind, refused[0].Err.Kind)
			require.Equal(t, fleet.OutcomeNotRun, refused[0].Outcome)
			require.True(t, s.Idle())
		})
	}
}
