package statestore

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestHighestDocumentWinsInAnyOrder checks that what is in force is the first
// content of the highest number, byte for byte, also through a snapshot.
func TestHighestDocumentWinsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Store
		var want Document
		for i := range rapid.IntRange(1, 20).Draw(t, "orders") {
			d := Document{
				Number: rapid.Uint64Range(1, 8).Draw(t, "number"),
				Text:   fmt.Appendf(nil, "{ \"order\":%d, \"odd\" : \"<&>\u2028\" }\n", i),
			}
			_, err := l.Do(Command{Document: &d}.Encode())
			require.NoError(t, err)
			if d.Number > want.Number {
				want = d
			}
			require.Equal(t, want, l.Document())
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
