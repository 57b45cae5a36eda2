package fleet

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// Processes of the version before read and write targets without a start.
func TestTargetsOnTheWire(t *testing.T) {
	in := Instance{Incarnation: Incarnation{ID: "a", StartMillis: 5}, Pool: "p", Address: "10.0.0.1:80", Zone: "z", Slots: 2}
	data, err := json.Marshal(in)
	require.NoError(t, err)
	require.Equal(t, `{"id":"a","born":5,"pool":"p","address":"10.0.0.1:80","zone":"z","slots":2}`, string(data))
	var back Instance
	require.NoError(t, json.Unmarshal([]byte(`{"id":"a","pool":"p","address":"10.0.0.1:80","zone":"z","slots":2,"later":[]}`), &back))
	in.StartMillis = 0
	require.Equal(t, in, back)
}

func TestLike(t *testing.T) {
	known := Incarnation{ID: "a", StartMillis: 5}
	require.True(t, known.MayEqual(known))
	require.True(t, known.MayEqual(Incarnation{ID: "a"}))
	require.True(t, Incarnation{ID: "a"}.MayEqual(known))
	require.False(t, known.MayEqual(Incarnation{ID: "a", StartMillis: 6}))
	require.False(t, known.MayEqual(Incarnation{ID: "b", StartMillis: 5}))
}

func TestFaultsOfAListing(t *testing.T) {
	l := TargetListing{Damaged: []DamagedEntry{{ID: "b", Field: "slots"}, {Field: "type"}, {ID: "a", Field: "slots"}, {ID: "b", Field: "id"}}}
	require.Equal(t, "id:1 slots:2 type:1", l.DamageSummary())
	require.Equal(t, []string{"a", "b"}, l.DamagedIDs())
	for range 2 * mostNamed {
		l.Damaged = append(l.Damaged, DamagedEntry{ID: string(rune('c' + len(l.Damaged)))})
	}
	require.Len(t, l.DamagedIDs(), mostNamed)
	require.Empty(t, TargetListing{}.DamageSummary())
}
