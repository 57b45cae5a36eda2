package message

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestUnknownFieldsOfANewerVersionAreIgnored(t *testing.T) {
	var g Grant
	require.NoError(t, json.Unmarshal([]byte(`{"term":3,"seq":4,"novelty":{"a":[1]},"slots":[{"target":"t","count":2,"colour":"blue"}]}`), &g))
	require.Equal(t, uint64(3), g.Term)
	require.Equal(t, 2, g.Slots[0].Count)
}

func FuzzReport(f *testing.F) {
	good, err := json.Marshal(Report{Router: "r1", Seq: 3, Queues: []QueueLength{{Account: "a", Event: "e", Waiting: 2}}})
	require.NoError(f, err)
	f.Add(good)
	f.Add([]byte(`{"sent":"never"}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var r Report
		if json.Unmarshal(data, &r) != nil {
			return
		}
		again, err := json.Marshal(r)
		require.NoError(t, err)
		var back Report
		require.NoError(t, json.Unmarshal(again, &back))
	})
}
