package quota

import (
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
)

// Symptom: nobody sends work to a target that has just started and is idle.
// Sequence: it crashed with a long backlog; routers that have not heard of its next start
// go on reporting what they sent to the former one.
// Cause: backlogs were summed by ID.
func TestBacklogOfAFormerStartIsNotThatOfTheNext(t *testing.T) {
	var b Aggregator
	b.Report(start, "lags", nil, []message.Backlog{{Target: "a", Born: 1000, Tokens: 90_000, Running: 60}})
	b.Report(start, "knows", nil, []message.Backlog{{Target: "a", Born: 2000, Tokens: 10, Running: 1}})
	_, sums, _ := b.Sums(start)
	require.Equal(t, []message.Backlog{{Target: "a", Born: 1000, Tokens: 90_000, Running: 60}, {Target: "a", Born: 2000, Tokens: 10, Running: 1}}, sums)
	targets := []fleet.Instance{{Incarnation: fleet.Incarnation{ID: "a", Born: 2000}}}
	loads := EncodeColumns(nil, sums, targets)
	require.Equal(t, []int{10}, loads.Tokens)
	require.Equal(t, []int{1}, loads.Running)
	_, rows := DecodeColumns(loads, targets)
	require.Equal(t, []message.Backlog{{Target: "a", Born: 2000, Tokens: 10, Running: 1}}, rows)
	require.Empty(t, ExcludeOwn(rows, []message.Backlog{{Target: "a", Born: 2000, Tokens: 10, Running: 1}}))
	require.Equal(t, rows, ExcludeOwn(rows, []message.Backlog{{Target: "a", Born: 1000, Tokens: 10, Running: 1}}), "what this router sent to the former start is no part of it")
}

// Symptom: backlogs are lost, or counted twice, while versions are mixed.
// Sequence: a router, or the keepers, of the version before tell no starts.
// Cause: an unknown start is taken for another one.
func TestBacklogsOfTheVersionBeforeCount(t *testing.T) {
	mixed := []message.Backlog{{Target: "a", Tokens: 5}, {Target: "a", Born: 2000, Tokens: 10}}
	require.Equal(t, []int{15}, EncodeColumns(nil, mixed, []fleet.Instance{{Incarnation: fleet.Incarnation{ID: "a", Born: 2000}}}).Tokens)
	require.Equal(t, []int{15}, EncodeColumns(nil, mixed, []fleet.Instance{{Incarnation: fleet.Incarnation{ID: "a"}}}).Tokens)
	old := []message.Backlog{{Target: "a", Tokens: 15}} // a keeper's sum
	require.Equal(t, []message.Backlog{{Target: "a", Tokens: 5}}, ExcludeOwn(old, []message.Backlog{{Target: "a", Born: 2000, Tokens: 10}}))
}
