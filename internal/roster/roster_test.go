package roster

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
)

var start = time.Unix(1e9, 0)

func TestRosterKeepsTheNewestList(t *testing.T) {
	var r Roster
	a, b := fleet.Instance{ID: "a"}, fleet.Instance{ID: "b"}
	require.True(t, r.Take(start, []fleet.Instance{b, a}))
	require.Equal(t, []fleet.Instance{a, b}, r.Targets())
	require.False(t, r.Take(start.Add(time.Second), []fleet.Instance{a, b}), "nothing changed")
	require.False(t, r.Take(start, nil), "an older list is ignored")
	require.Equal(t, start.Add(time.Second), r.ReadAt())
	require.True(t, r.Take(start.Add(2*time.Second), []fleet.Instance{b}))
	require.Equal(t, []fleet.Instance{b}, r.Targets())
}

// Symptom: a target that leaves gets new work again.
// Sequence: the leader reads that it leaves; a router cut off from the leader
// reads the list itself, where it still looks live.
// Cause: the list lags, and not alike for all readers.
func TestALeavingTargetStaysOut(t *testing.T) {
	var r Roster
	live, leaving := fleet.Instance{ID: "a"}, fleet.Instance{ID: "a", Leaving: true}
	r.Take(start, []fleet.Instance{leaving})
	require.False(t, r.Take(start.Add(time.Second), []fleet.Instance{live}))
	require.True(t, r.Targets()[0].Leaving)
	r.Take(start.Add(2*time.Second), nil)
	r.Take(start.Add(3*time.Second), []fleet.Instance{live})
	require.True(t, r.Targets()[0].Leaving, "also after it was missing from a list")
	next := fleet.Instance{ID: "a2"}
	require.True(t, r.Take(start.Add(4*time.Second), []fleet.Instance{next}))
	require.False(t, r.Targets()[0].Leaving, "another incarnation is another target")
}
