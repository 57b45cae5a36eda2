package quota

import (
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
)

// Guards against sending no work to an idle target that has just restarted after a crash with a
// long backlog. Routers that have not seen the restart still report their backlog for the
// previous incarnation, and backlogs were summed by target ID.
func TestBacklogOfPreviousIncarnationIsIgnored(t *testing.T) {
	var aggregator Aggregator
	aggregator.Report(start, "outdated", nil, []message.Backlog{{Target: "a", StartMillis: 1000, Tokens: 90_000, Running: 60}})
	aggregator.Report(start, "current", nil, []message.Backlog{{Target: "a", StartMillis: 2000, Tokens: 10, Running: 1}})
	_, sums, _ := aggregator.Sums(start)
	require.Equal(t, []message.Backlog{{Target: "a", StartMillis: 1000, Tokens: 90_000, Running: 60}, {Target: "a", StartMillis: 2000, Tokens: 10, Running: 1}}, sums)
	targets := []fleet.Instance{{Incarnation: fleet.Incarnation{ID: "a", StartMillis: 2000}}}
	loads := EncodeColumns(nil, sums, targets)
	require.Equal(t, []int{10}, loads.Tokens)
	require.Equal(t, []int{1}, loads.Running)
	_, rows := DecodeColumns(loads, targets)
	require.Equal(t, []message.Backlog{{Target: "a", StartMillis: 2000, Tokens: 10, Running: 1}}, rows)
	require.Empty(t, ExcludeOwn(rows, []message.Backlog{{Target: "a", StartMillis: 2000, Tokens: 10, Running: 1}}))
	require.Equal(t, rows, ExcludeOwn(rows, []message.Backlog{{Target: "a", StartMillis: 1000, Tokens: 10, Running: 1}}), "the backlog for the previous incarnation is not subtracted")
}

// Guards against backlogs that are lost or counted twice while versions are mixed, when routers
// or keepers of the previous version report no start times.
func TestCountsBacklogsOfPreviousVersion(t *testing.T) {
	mixed := []message.Backlog{{Target: "a", Tokens: 5}, {Target: "a", StartMillis: 2000, Tokens: 10}}
	require.Equal(t, []int{15}, EncodeColumns(nil, mixed, []fleet.Instance{{Incarnation: fleet.Incarnation{ID: "a", StartMillis: 2000}}}).Tokens)
	require.Equal(t, []int{15}, EncodeColumns(nil, mixed, []fleet.Instance{{Incarnation: fleet.Incarnation{ID: "a"}}}).Tokens)
	old := []message.Backlog{{Target: "a", Tokens: 15}} // sum from a keeper
	require.Equal(t, []message.Backlog{{Target: "a", Tokens: 5}}, ExcludeOwn(old, []message.Backlog{{Target: "a", StartMillis: 2000, Tokens: 10}}))
}
