package keeperclient

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
)

func instance(id string, born int64, leaving bool) fleet.Instance {
	return fleet.Instance{Incarnation: fleet.Incarnation{ID: id, StartMillis: born}, Pool: "p", Leaving: leaving}
}

// hear lets a router take a leader's list.
func (u *Client) hear(t *testing.T, asked time.Time, list uint64, targets ...fleet.Instance) {
	r := message.RenewResponse{Leads: true, Term: 1, Number: 1, ListRevision: list}
	if targets != nil {
		r.PackedTargets = pack(t, targets)
	}
	u.take(asked, "k", nil, r)
}

// Symptom: a target that is ready again gets no work until the list changes.
// Sequence: a router saw it leaving; the next list shows it ready, too early to be sure
// that it has started again, and does not change from then on.
// Cause: while the list did not change, the router took its own belief, that the target
// is leaving, for what the list says.
func TestAListThatDoesNotChangeIsHeardAgain(t *testing.T) {
	u := newUplink(&fakeList{})
	now := u.Clock.Now()
	u.hear(t, now, 1, instance("a", 0, true))
	u.hear(t, now.Add(time.Second), 2, instance("a", 0, false))
	require.True(t, u.roster.Targets()[0].Leaving)
	for s := 2; s < 10; s++ {
		u.hear(t, now.Add(time.Duration(s)*time.Second), 2)
	}
	require.False(t, u.roster.Targets()[0].Leaving)
}

// Symptom: requests go to a process that has ended.
// Sequence: a router has read the list itself, where a target has started again; the
// leader's reading is newer, and lags.
// Cause: the list that is read last counts.
func TestALeaderThatLagsBringsNoFormerStartBack(t *testing.T) {
	u := newUplink(&fakeList{})
	now := u.Clock.Now()
	require.True(t, u.takeTargets("own reading", now, fleet.TargetListing{Targets: []fleet.Instance{instance("a", 2000, false)}}))
	u.hear(t, now.Add(time.Second), 1, instance("a", 1000, false))
	require.Equal(t, []fleet.Instance{instance("a", 2000, false)}, u.roster.Targets())
}

// Symptom: while keepers are replaced, all targets change with each answer.
// Sequence: a keeper of the version before leads, whose lists tell no starts.
// Cause: a start that is not told is taken for another one.
func TestAListOfTheVersionBeforeChangesNoTarget(t *testing.T) {
	u := newUplink(&fakeList{})
	changes := 0
	u.Changed = func(State, []fleet.Instance) { changes++ }
	now := u.Clock.Now()
	u.hear(t, now, 1, instance("a", 2000, false))
	u.take(now.Add(time.Second), "k", nil, message.RenewResponse{Leads: true, Term: 2, Number: 1, ListRevision: 1, Targets: []fleet.Instance{instance("a", 0, false)}})
	require.Equal(t, 1, changes)
	require.Equal(t, []fleet.Instance{instance("a", 2000, false)}, u.roster.Targets())
}

// Symptom: each damaged entry ends its target at all routers.
// Sequence: the leader reads a list in which a known target's entry is damaged.
// Cause: routers were told the sound entries alone.
func TestADamagedEntryOfTheLeadersListIsKnown(t *testing.T) {
	u := newUplink(&fakeList{})
	changes := 0
	u.Changed = func(State, []fleet.Instance) { changes++ }
	now := u.Clock.Now()
	u.hear(t, now, 1, instance("a", 1000, false), instance("b", 1000, false))
	r := message.RenewResponse{Leads: true, Term: 1, Number: 1, ListRevision: 2, PackedTargets: pack(t, []fleet.Instance{instance("b", 1000, false)}), Damaged: []string{"a"}}
	u.take(now.Add(time.Second), "k", nil, r)
	u.hear(t, now.Add(1400*time.Millisecond), 2)
	require.Len(t, u.roster.Targets(), 2)
	require.Equal(t, 1, changes)
	u.hear(t, now.Add(2*time.Second), 2)
	require.Equal(t, []fleet.Instance{instance("b", 1000, false)}, u.roster.Targets(), "while the list does not change, time passes")
}
