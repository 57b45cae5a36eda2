package placement

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
)

// Guards against routers that all send to the one engine whose queue was shortest when they
// last heard of each other.
func TestRoutersThatHaveNotHeardOfEachOtherSpread(t *testing.T) {
	const routers, engines = 90, 60
	got := map[string]int{}
	for i := range routers {
		p := &Placer{Zone: fleet.Zone(fmt.Sprint("z", i%3)), Routers: routers}
		p.SetTargets(start, instances(engines))
		got[send(t, p, start, Request{Pool: "engines", Parts: []PromptPart{{ID: uint64(i) * 7919, Tokens: 700}}}).Target.ID]++
	}
	most := 0
	for _, n := range got {
		most = max(most, n)
	}
	const mean = routers / engines
	require.LessOrEqual(t, most, 6*mean)
	require.Greater(t, len(got), engines/2)
}
