package gateway_test

import (
	"net/http"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/standin"
)

// Guards against charging an account for each ended target that a request was sent to. Its requests
// would then be rejected for service that it never got.
func TestRefundsRequestsThatDidNotRun(t *testing.T) {
	for name, tt := range map[string]struct {
		endedCount int // of two targets
		charged    bool
	}{
		"no target has ended":     {charged: true},
		"one target has ended":    {endedCount: 1, charged: true},
		"both targets have ended": {endedCount: 2},
	} {
		t.Run(name, func(t *testing.T) {
			bed := newTestbed(t)
			endedTargets := bed.targets[:tt.endedCount]
			bed.site.Fault = func(target *standin.PlatformTarget, w http.ResponseWriter, r *http.Request) bool {
				if slices.Contains(endedTargets, target) {
					targetFaults["moved"](target, w, r)
					return true
				}
				return false
			}
			const requests, tokens = 10, 100
			for range requests {
				_, _, err := bed.do(http.MethodPost, "/stream/stream", "x", "Authorization", "Bearer good-key",
					"X-Model", "m", "X-Token-Count", "100,0", "X-Prefix-Hash", "5c1e07a2:60,91bd3f06:40")
				require.NoError(t, err)
			}
			demand, _ := bed.gateway.Load(bed.gateway.Clock.Now())
			require.Len(t, demand, 1)
			if !tt.charged {
				require.Zero(t, demand[0].Served)
				return
			}
			require.InDelta(t, demand[0].Rate, demand[0].Served, 0.2*requests*tokens)
		})
	}
}
