package statestore

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"laburnumfall/internal/fleet"
)

// TestTheLastOrderOfAZoneHolds checks that orders which are sent again change nothing, that
// the revision tells each change, and that snapshots keep both.
func TestTheLastOrderOfAZoneHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Store
		want := map[fleet.Zone]bool{}
		for range rapid.IntRange(1, 30).Draw(t, "orders") {
			order := Evacuation{
				Zone: rapid.SampledFrom([]fleet.Zone{"a", "b", "c"}).Draw(t, "zone"),
				End:  rapid.Bool().Draw(t, "end"),
			}
			before := l.Evacuations()
			changes := want[order.Zone] == order.End
			want[order.Zone] = !order.End
			for range rapid.IntRange(1, 3).Draw(t, "times") {
				_, err := l.Do(Command{Evacuation: &order}.Encode())
				require.NoError(t, err)
			}
			now := l.Evacuations()
			require.Equal(t, changes, now.Revision == before.Revision+1)
			require.Equal(t, !changes, now.Revision == before.Revision)
			for zone, evacuated := range want {
				require.Equal(t, evacuated, now.Contains(zone))
			}
			if rapid.Bool().Draw(t, "snapshot") {
				data, err := l.Snapshot()
				require.NoError(t, err)
				var again Store
				require.NoError(t, again.Restore(data))
				l = again
			}
		}
	})
}

// Guards against a keeper that cannot start on the snapshot of the version before.
func TestASnapshotWithoutEvacuations(t *testing.T) {
	var l Store
	_, err := l.Do(Command{Document: &Document{Number: 3, Text: []byte("x")}}.Encode())
	require.NoError(t, err)
	data, err := l.Snapshot()
	require.NoError(t, err)
	var fields map[string]json.RawMessage
	require.NoError(t, json.Unmarshal(data, &fields))
	require.NotContains(t, fields, "evacuations", "nothing is written where there are none")
	require.NoError(t, l.Restore(data))
	require.Empty(t, l.Evacuations())
	require.Equal(t, uint64(3), l.Document().Number)
}
