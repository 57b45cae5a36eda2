package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/standin"
)

// Guards against callers that are refused while targets idle: others have just ended, and the
// list of targets still shows them.
func TestTargetsThatAreGoneCostNoAnswer(t *testing.T) {
	const more, gone = 8, 7
	for name, end := range map[string]func(b *bed, s *standin.SiteTarget){
		"nobody listens":       func(b *bed, s *standin.SiteTarget) { b.site.Remove(s) },
		"another one is there": func(*bed, *standin.SiteTarget) {},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t)
			for i := range more {
				target, err := b.site.Add(fmt.Sprintf("more-%d", i), "plain", "z1", "127.0.0.1:0", 4)
				require.NoError(t, err)
				b.targets = append(b.targets, target)
			}
			b.apply()
			moved := b.targets[:gone]
			b.site.Fault = func(s *standin.SiteTarget, w http.ResponseWriter, r *http.Request) bool {
				if slices.Contains(moved, s) {
					misdeeds["moved"](s, w, r)
					return true
				}
				return false
			}
			for _, target := range moved {
				end(b, target)
			}
			const requests = 20
			for range requests {
				resp, text, err := b.do(http.MethodPost, "/once/x", "x")
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, resp.StatusCode, text)
			}
			require.Len(t, b.runs(), requests)
		})
	}
}
