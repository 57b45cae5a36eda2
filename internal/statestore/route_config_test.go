package statestore

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The active configuration of routes is the first one with the highest number, byte for byte, and stays
// so after a snapshot is restored.
func TestHighestRouteConfigWinsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var store Store
		var want RouteConfig
		for i := range rapid.IntRange(1, 20).Draw(t, "orders") {
			config := RouteConfig{
				Number: rapid.Uint64Range(1, 8).Draw(t, "number"),
				Text:   fmt.Appendf(nil, "{ \"order\":%d, \"odd\" : \"<&>\u2028\" }\n", i),
			}
			_, err := store.ApplyCommand(Command{RouteConfig: &config}.Encode())
			require.NoError(t, err)
			if config.Number > want.Number {
				want = config
			}
			require.Equal(t, want, store.RouteConfig())
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
