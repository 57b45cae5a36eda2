package keeper

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Symptom: all routers together send more requests a second time than they may.
// Sequence: some routers are cut off from the keepers; the others divide the
// whole budget among themselves while those use their parts too.
// Cause: a router stops counting as soon as it renews nothing.
func TestARouterThatIsCutOffCountsOn(t *testing.T) {
	var r routes
	now := time.Unix(1e9, 0)
	for i := range 6 {
		r.see(now, fmt.Sprint("r", i))
	}
	for range 40 {
		now = now.Add(250 * time.Millisecond)
		r.see(now, "r0")
	}
	require.Len(t, r.routers, 6)
	r.see(now.Add(routerMemory), "r0")
	require.Len(t, r.routers, 1, "one that is gone counts no more")
}

func TestARouterThatRestartsCountsOnce(t *testing.T) {
	var r routes
	now := time.Unix(1e9, 0)
	r.see(now, "r0")
	r.see(now.Add(time.Second), "r0")
	require.Len(t, r.routers, 1)
}
