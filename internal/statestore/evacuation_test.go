package statestore

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"laburnumfall/internal/fleet"
)

// The last change of a zone decides whether it is evacuated. Repeated changes have no effect, the
// revision increases with each effective change, and snapshots preserve both.
func TestLastEvacuationChangeOfZoneWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var store Store
		want := map[fleet.Zone]bool{}
		for range rapid.IntRange(1, 30).Draw(t, "orders") {
			change := EvacuationChange{
				Zone: rapid.SampledFrom([]fleet.Zone{"a", "b", "c"}).Draw(t, "zone"),
				End:  rapid.Bool().Draw(t, "end"),
			}
			before := store.EvacuatedZones()
			takesEffect := want[change.Zone] == change.End
			want[change.Zone] = !change.End
			for range rapid.IntRange(1, 3).Draw(t, "times") {
				_, err := store.ApplyCommand(Command{Evacuation: &change}.Encode())
				require.NoError(t, err)
			}
			after := store.EvacuatedZones()
			require.Equal(t, takesEffect, after.Revision == before.Revision+1)
			require.Equal(t, !takesEffect, after.Revision == before.Revision)
			for zone, evacuated := range want {
				require.Equal(t, evacuated, after.Contains(zone))
			}
			if rapid.Bool().Draw(t, "snapshot") {
				data, err := store.Snapshot()
				require.NoError(t, err)
				var restored Store
				require.NoError(t, restored.Restore(data))
				store = restored
			}
		}
	})
}

// Guards against a keeper that cannot start from a snapshot of the previous version, which has no
// evacuations.
func TestRestoresSnapshotWithoutEvacuations(t *testing.T) {
	var store Store
	_, err := store.ApplyCommand(Command{RouteConfig: &RouteConfig{Number: 3, Text: []byte("x")}}.Encode())
	require.NoError(t, err)
	data, err := store.Snapshot()
	require.NoError(t, err)
	var fields map[string]json.RawMessage
	require.NoError(t, json.Unmarshal(data, &fields))
	require.NotContains(t, fields, "evacuations", "empty evacuations are not encoded")
	require.NoError(t, store.Restore(data))
	require.Empty(t, store.EvacuatedZones())
	require.Equal(t, uint64(3), store.RouteConfig().Number)
}
