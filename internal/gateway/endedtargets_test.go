package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/standin"
)

// Guards against refusing callers while targets are idle, because several targets have just ended
// and the list of targets still has them.
func TestServesDespiteEndedTargets(t *testing.T) {
	const addedCount, endedCount = 8, 7
	for name, endTarget := range map[string]func(bed *testbed, target *standin.PlatformTarget){
		"address is closed": func(bed *testbed, target *standin.PlatformTarget) { bed.site.Remove(target) },
		"address is reused": func(*testbed, *standin.PlatformTarget) {},
	} {
		t.Run(name, func(t *testing.T) {
			bed := newTestbed(t)
			for i := range addedCount {
				target, err := bed.site.Add(fmt.Sprintf("more-%d", i), "plain", "z1", "127.0.0.1:0", 4)
				require.NoError(t, err)
				bed.targets = append(bed.targets, target)
			}
			bed.applyTargets()
			endedTargets := bed.targets[:endedCount]
			bed.site.Fault = func(target *standin.PlatformTarget, w http.ResponseWriter, r *http.Request) bool {
				if slices.Contains(endedTargets, target) {
					targetFaults["moved"](target, w, r)
					return true
				}
				return false
			}
			for _, target := range endedTargets {
				endTarget(bed, target)
			}
			const requests = 20
			for range requests {
				resp, body, err := bed.do(http.MethodPost, "/once/x", "x")
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, resp.StatusCode, body)
			}
			require.Len(t, bed.runs(), requests)
		})
	}
}
