package message

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestIgnoresUnknownFields(t *testing.T) {
	var grant Grant
	require.NoError(t, json.Unmarshal([]byte(`{"term":3,"seq":4,"novelty":{"a":[1]},"slots":[{"target":"t","count":2,"colour":"blue"}]}`), &grant))
	require.Equal(t, uint64(3), grant.Term)
	require.Equal(t, 2, grant.Slots[0].Count)
}

func FuzzReport(f *testing.F) {
	valid, err := json.Marshal(Report{Router: "r1", Seq: 3, Queues: []QueueLength{{Account: "a", Event: "e", Waiting: 2}}})
	require.NoError(f, err)
	f.Add(valid)
	f.Add([]byte(`{"sent":"never"}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var report Report
		if json.Unmarshal(data, &report) != nil {
			return
		}
		encoded, err := json.Marshal(report)
		require.NoError(t, err)
		var decoded Report
		require.NoError(t, json.Unmarshal(encoded, &decoded))
	})
}
