package quorum

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against learners that are removed as silent before they can answer: if a new member counts
// as silent since the election, replacements never become voters, and the group loses its quorum
// after the third failure.
func TestContactOfNewMemberStartsWhenAdded(t *testing.T) {
	start := time.Unix(1e9, 0)
	node := &Node{ID: "a", Snapshot: Snapshot{Members: []Member{{ID: "a", Name: "a", Voter: true}}}}
	node.Start(start)
	elected := start.Add(2 * ElectionTimeout)
	node.Tick(elected)
	require.Equal(t, Leader, node.Role())
	node.TakeOutput()
	node.MarkDurable()
	node.TakeOutput()
	later := elected.Add(time.Minute)
	require.NoError(t, node.AddLearner(later, Member{ID: "b", Name: "b"}))
	require.Equal(t, later, node.LastFollowerContact("b"))
}
