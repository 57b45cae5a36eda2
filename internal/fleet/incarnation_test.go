package fleet

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an incompatible encoding: processes of the previous version read and write
// targets without a start time, and ignore fields that they do not know.
func TestInstanceEncoding(t *testing.T) {
	instance := Instance{Incarnation: Incarnation{ID: "a", StartMillis: 5}, Pool: "p", Address: "10.0.0.1:80", Zone: "z", Slots: 2}
	data, err := json.Marshal(instance)
	require.NoError(t, err)
	require.Equal(t, `{"id":"a","born":5,"pool":"p","address":"10.0.0.1:80","zone":"z","slots":2}`, string(data))
	var decoded Instance
	require.NoError(t, json.Unmarshal([]byte(`{"id":"a","pool":"p","address":"10.0.0.1:80","zone":"z","slots":2,"later":[]}`), &decoded))
	instance.StartMillis = 0
	require.Equal(t, instance, decoded)
}

func TestMayEqual(t *testing.T) {
	incarnation := Incarnation{ID: "a", StartMillis: 5}
	require.True(t, incarnation.MayEqual(incarnation))
	require.True(t, incarnation.MayEqual(Incarnation{ID: "a"}))
	require.True(t, Incarnation{ID: "a"}.MayEqual(incarnation))
	require.False(t, incarnation.MayEqual(Incarnation{ID: "a", StartMillis: 6}))
	require.False(t, incarnation.MayEqual(Incarnation{ID: "b", StartMillis: 5}))
}

func TestDamagedEntriesSummary(t *testing.T) {
	listing := TargetListing{Damaged: []DamagedEntry{{ID: "b", Field: "slots"}, {Field: "type"}, {ID: "a", Field: "slots"}, {ID: "b", Field: "id"}}}
	require.Equal(t, "id:1 slots:2 type:1", listing.DamageSummary())
	require.Equal(t, []string{"a", "b"}, listing.DamagedIDs())
	for range 2 * maxDamagedIDs {
		listing.Damaged = append(listing.Damaged, DamagedEntry{ID: string(rune('c' + len(listing.Damaged)))})
	}
	require.Len(t, listing.DamagedIDs(), maxDamagedIDs)
	require.Empty(t, TargetListing{}.DamageSummary())
}
