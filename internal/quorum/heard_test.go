package quorum

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Symptom: replacements of keepers never come to vote; after the third one the
// group has no quorum.
// Sequence: a learner joins a leader that was elected long before; the leader
// looks for silent members before the learner can have answered anything.
// Cause: a member that has not answered yet counts as silent since the election.
func TestANewMemberIsNotSilentSinceTheElection(t *testing.T) {
	start := time.Unix(1e9, 0)
	n := &Node{ID: "a", Snapshot: Snapshot{Members: []Member{{ID: "a", Name: "a", Voter: true}}}}
	n.Start(start)
	elected := start.Add(2 * ElectionTimeout)
	n.Tick(elected)
	require.Equal(t, Leader, n.Role())
	n.TakeOutput()
	n.MarkDurable()
	n.TakeOutput()
	later := elected.Add(time.Minute)
	require.NoError(t, n.AddLearner(later, Member{ID: "b", Name: "b"}))
	require.Equal(t, later, n.LastFollowerContact("b"))
}
