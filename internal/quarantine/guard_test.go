package quarantine_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/quarantine"
)

// Symptom: a request that is held back is sent once more.
// Sequence: an answer of the leader is overtaken by a later one and comes after it.
// Cause: the earlier one, which knew less, replaced the rulings.
func TestAnOvertakenAnswerChangesNothing(t *testing.T) {
	now := time.Unix(1e9, 0)
	g := quarantine.Guard{Owner: "r1"}
	held := quarantine.Restriction{Fingerprint: "p", TerminationCount: 3, NextRunIn: time.Minute}
	g.ApplyUpdate(now, now, 2, quarantine.RestrictionUpdate{Revision: 5, Complete: true, Restrictions: []quarantine.Restriction{held}})
	for name, old := range map[string]struct {
		term uint64
		r    quarantine.RestrictionUpdate
	}{
		"of this term":       {2, quarantine.RestrictionUpdate{Revision: 4, Complete: true}},
		"of the term before": {1, quarantine.RestrictionUpdate{Revision: 9, Complete: true}},
	} {
		g.ApplyUpdate(now.Add(time.Second), now, old.term, old.r)
		require.Equal(t, quarantine.Reject, g.Check(now.Add(time.Second), "p").Action, name)
	}
	g.ApplyUpdate(now.Add(time.Second), now, 3, quarantine.RestrictionUpdate{Revision: 6, Complete: true})
	require.Equal(t, quarantine.Allow, g.Check(now.Add(time.Second), "p").Action, "the next leader knows better")
}

// Symptom: a request ends more targets than it may around a change of leader.
// Sequence: a router has told the leader of a first end; another keeper leads.
// Cause: first ends are in no log, and the router told them once only.
func TestEachLeaderIsToldOnce(t *testing.T) {
	now := time.Unix(1e9, 0)
	g := quarantine.Guard{Owner: "r1"}
	target := fleet.Incarnation{ID: "a"}
	require.True(t, g.RecordInterruption(now, quarantine.Execution{Fingerprint: "p", Target: target}))
	require.Empty(t, g.Report(now).Terminations, "it may live")
	g.RecordTermination(now, target)
	tell := func(term uint64, answered bool) int {
		now = now.Add(250 * time.Millisecond)
		asked, m := now, g.Report(now)
		now = now.Add(10 * time.Millisecond)
		if answered {
			g.ApplyUpdate(now, asked, term, quarantine.RestrictionUpdate{})
		}
		return len(m.Terminations)
	}
	require.Equal(t, 1, tell(1, false))
	require.Equal(t, 1, tell(1, true), "no answer, told again")
	require.Equal(t, 1, tell(1, true), "the first answer only tells who leads")
	require.Zero(t, tell(1, true))
	require.Zero(t, tell(2, true), "nobody knows yet that another leads")
	require.Equal(t, 1, tell(2, true))
	require.Zero(t, tell(2, true))
	now = now.Add(2 * time.Hour)
	require.Zero(t, tell(3, true))
	require.Zero(t, tell(3, true), "that was long ago")
	require.True(t, g.Idle())
}

// Guards against ends that are not counted, and a permit that is out for nothing: a target
// without incarnations that is back at once and ends again.
func TestATargetThatIsBackAtOnceEndsTwice(t *testing.T) {
	now := time.Unix(1e9, 0)
	g := quarantine.Guard{Owner: "r1", IDsReused: true}
	target := fleet.Incarnation{ID: "a"}
	cut := func(began time.Duration) bool {
		return g.RecordInterruption(now, quarantine.Execution{Fingerprint: "p", Target: target, SentAt: now.Add(-began)})
	}
	require.True(t, cut(50*time.Millisecond))
	now = now.Add(5 * time.Millisecond)
	require.True(t, cut(50*time.Millisecond), "another copy, at the same end")
	g.RecordTermination(now, target)
	now = now.Add(5 * time.Millisecond)
	require.False(t, cut(50*time.Millisecond), "and one more")
	require.Len(t, g.Report(now).Terminations, 1)

	now = now.Add(350 * time.Millisecond)
	require.True(t, cut(50*time.Millisecond), "it was back when the exchange began")
	g.RecordTermination(now, target)
	require.Len(t, g.Report(now).Terminations, 2)
}
