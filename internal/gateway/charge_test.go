package gateway_test

import (
	"net/http"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/standin"
)

// Guards against an account that pays for each target that is gone: its routers would hold it
// back for service that it never got.
func TestAnAccountPaysForWhatRanOnly(t *testing.T) {
	for name, tt := range map[string]struct {
		gone int // of two targets
		pays bool
	}{
		"none is gone": {pays: true},
		"one is gone":  {gone: 1, pays: true},
		"both are":     {gone: 2},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t)
			moved := b.targets[:tt.gone]
			b.site.Fault = func(s *standin.SiteTarget, w http.ResponseWriter, r *http.Request) bool {
				if slices.Contains(moved, s) {
					misdeeds["moved"](s, w, r)
					return true
				}
				return false
			}
			const requests, tokens = 10, 100
			for range requests {
				_, _, err := b.do(http.MethodPost, "/stream/stream", "x", "Authorization", "Bearer good-key",
					"X-Model", "m", "X-Token-Count", "100,0", "X-Prefix-Hash", "5c1e07a2:60,91bd3f06:40")
				require.NoError(t, err)
			}
			demand, _ := b.gateway.Load(b.gateway.Clock.Now())
			require.Len(t, demand, 1)
			if !tt.pays {
				require.Zero(t, demand[0].Served)
				return
			}
			require.InDelta(t, demand[0].Rate, demand[0].Served, 0.2*requests*tokens)
		})
	}
}
