package quarantine_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/quarantine"
)

// Guards against another run of a quarantined request: two updates of leaders arrive in the wrong
// order, and the older one must not replace the newer restrictions.
func TestIgnoresOutdatedUpdate(t *testing.T) {
	now := time.Unix(1e9, 0)
	guard := quarantine.Guard{Owner: "r1"}
	restriction := quarantine.Restriction{Fingerprint: "p", TerminationCount: 3, NextRunIn: time.Minute}
	guard.ApplyUpdate(now, now, 2, quarantine.RestrictionUpdate{Revision: 5, Complete: true, Restrictions: []quarantine.Restriction{restriction}})
	for name, outdated := range map[string]struct {
		term   uint64
		update quarantine.RestrictionUpdate
	}{
		"of the same term":     {2, quarantine.RestrictionUpdate{Revision: 4, Complete: true}},
		"of the previous term": {1, quarantine.RestrictionUpdate{Revision: 9, Complete: true}},
	} {
		guard.ApplyUpdate(now.Add(time.Second), now, outdated.term, outdated.update)
		require.Equal(t, quarantine.Reject, guard.Check(now.Add(time.Second), "p").Action, name)
	}
	guard.ApplyUpdate(now.Add(time.Second), now, 3, quarantine.RestrictionUpdate{Revision: 6, Complete: true})
	require.Equal(t, quarantine.Allow, guard.Check(now.Add(time.Second), "p").Action, "an update of a newer term replaces all")
}

// Guards against a first termination that is lost when the leader changes, which lets a request
// terminate one more target: first terminations are not in the log, so that the router must
// report them to each new leader.
func TestReportsOncePerLeader(t *testing.T) {
	now := time.Unix(1e9, 0)
	guard := quarantine.Guard{Owner: "r1"}
	target := fleet.Incarnation{ID: "a"}
	require.True(t, guard.RecordInterruption(now, quarantine.Execution{Fingerprint: "p", Target: target}))
	require.Empty(t, guard.Report(now).Terminations, "the target may still run")
	guard.RecordTermination(now, target)
	exchange := func(term uint64, acknowledged bool) int {
		now = now.Add(250 * time.Millisecond)
		reportedAt, report := now, guard.Report(now)
		now = now.Add(10 * time.Millisecond)
		if acknowledged {
			guard.ApplyUpdate(now, reportedAt, term, quarantine.RestrictionUpdate{})
		}
		return len(report.Terminations)
	}
	require.Equal(t, 1, exchange(1, false))
	require.Equal(t, 1, exchange(1, true), "reported again, since there was no response")
	require.Equal(t, 1, exchange(1, true), "the first response only shows the term")
	require.Zero(t, exchange(1, true))
	require.Zero(t, exchange(2, true), "the router does not know the new term yet")
	require.Equal(t, 1, exchange(2, true))
	require.Zero(t, exchange(2, true))
	now = now.Add(2 * time.Hour)
	require.Zero(t, exchange(3, true))
	require.Zero(t, exchange(3, true), "the observation has expired")
	require.True(t, guard.Idle())
}

// Guards against a missed termination, and a permit that stays in use: a target without
// incarnations restarts at once and terminates again.
func TestGuardCountsTerminationAfterQuickRestart(t *testing.T) {
	now := time.Unix(1e9, 0)
	guard := quarantine.Guard{Owner: "r1", IDsReused: true}
	target := fleet.Incarnation{ID: "a"}
	interrupt := func(sentAgo time.Duration) bool {
		return guard.RecordInterruption(now, quarantine.Execution{Fingerprint: "p", Target: target, SentAt: now.Add(-sentAgo)})
	}
	require.True(t, interrupt(50*time.Millisecond))
	now = now.Add(5 * time.Millisecond)
	require.True(t, interrupt(50*time.Millisecond), "another copy, interrupted by the same termination")
	guard.RecordTermination(now, target)
	now = now.Add(5 * time.Millisecond)
	require.False(t, interrupt(50*time.Millisecond), "a third copy, after the termination is confirmed")
	require.Len(t, guard.Report(now).Terminations, 1)

	now = now.Add(350 * time.Millisecond)
	require.True(t, interrupt(50*time.Millisecond), "the target had restarted before the exchange started")
	guard.RecordTermination(now, target)
	require.Len(t, guard.Report(now).Terminations, 2)
}

// Guards against a run under a permit that has expired: a router that was stalled while the leader's
// response arrived must not count the permit from when it reads the response.
func TestPermitExpiresAsGranted(t *testing.T) {
	const ttl = 20 * time.Second
	now := time.Unix(1e9, 0)
	for name, tt := range map[string]struct {
		delay time.Duration // from the report to the reading of the response
		want  quarantine.Action
	}{
		"read in time":       {delay: time.Second, want: quarantine.Allow},
		"read before expiry": {delay: ttl - time.Second, want: quarantine.Allow},
		"read after expiry":  {delay: ttl, want: quarantine.AwaitPermit},
	} {
		t.Run(name, func(t *testing.T) {
			guard := quarantine.Guard{Owner: "r1"}
			permitted := quarantine.Restriction{Fingerprint: "p", TerminationCount: 2, PermitHolder: "r1", PermitExpiresIn: ttl, PermitID: 1}
			readAt := now.Add(tt.delay)
			guard.ApplyUpdate(readAt, now, 1, quarantine.RestrictionUpdate{Revision: 1, Restrictions: []quarantine.Restriction{permitted}})
			require.Equal(t, tt.want, guard.Check(readAt, "p").Action)
			require.NotEqual(t, quarantine.Allow, guard.Check(now.Add(ttl), "p").Action)
		})
	}
}
