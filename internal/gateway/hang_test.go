package gateway_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/standin"
)

// Guards against status 504 for requests that may be retried while healthy targets are idle. One
// target accepts a request and never answers, and the attempt must not use up all the caller's
// time.
func TestRetriesRequestAtHangingTarget(t *testing.T) {
	tests := []struct {
		name, path string
		status     int
		runs       int
	}{
		{"idempotent", "/whole/x", http.StatusOK, 2},
		{"resumable stream", "/resume/stream", http.StatusOK, 2},
		{"at most once", "/once/x", http.StatusGatewayTimeout, 1},
		{"at most once, two attempts", "/twice/x", http.StatusGatewayTimeout, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			bed := newTestbed(t)
			var faultCount atomic.Int64
			bed.site.Fault = func(target *standin.PlatformTarget, _ http.ResponseWriter, r *http.Request) bool {
				if faultCount.Add(1) > 1 {
					return false
				}
				target.RecordRun(r)
				<-r.Context().Done()
				return true
			}
			resp, body, err := bed.do(http.MethodPost, tt.path, "x", "Authorization", "Bearer good-key")
			require.NoError(t, err)
			require.Equal(t, tt.status, resp.StatusCode, body)
			require.Len(t, bed.runs(), tt.runs)
			if strings.HasSuffix(tt.path, "stream") {
				require.Equal(t, standin.StreamEvents, strings.Count(body, "data: piece"))
			}
		})
	}
}
