package placement

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
)

// Guards against routers that all send to the engine that had the shortest queue in the latest
// load report.
func TestJitterSpreadsUncoordinatedRouters(t *testing.T) {
	const routers, engines = 90, 60
	counts := map[string]int{}
	for i := range routers {
		p := &Placer{Zone: fleet.Zone(fmt.Sprint("z", i%3)), Routers: routers}
		p.SetTargets(start, instances(engines))
		counts[send(t, p, start, Request{Pool: "engines", Parts: []PromptPart{{ID: uint64(i) * 7919, Tokens: 700}}}).Target.ID]++
	}
	most := 0
	for _, n := range counts {
		most = max(most, n)
	}
	const mean = routers / engines
	require.LessOrEqual(t, most, 6*mean)
	require.Greater(t, len(counts), engines/2)
}
