package gateway_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/standin"
)

// Guards against refusing callers of a quiet route as often as those that flood another route to
// the same pool. The targets refuse one request after the other for lack of capacity, and without
// the throttle every request would be sent to them.
func TestThrottlesRouteThatServiceRefuses(t *testing.T) {
	bed := newTestbed(t)
	var sentCount atomic.Int64
	bed.site.Fault = func(_ *standin.PlatformTarget, w http.ResponseWriter, r *http.Request) bool {
		if strings.HasPrefix(r.URL.Path, "/whole/") {
			return false
		}
		sentCount.Add(1)
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	require.Eventually(t, func() bool {
		sentBefore := sentCount.Load()
		resp, body, err := bed.do(http.MethodPost, "/once/x", "x")
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		require.NotEmpty(t, resp.Header.Get("Retry-After"))
		if !strings.Contains(body, string(fleet.ReasonServiceOverloaded)) {
			return false
		}
		require.Equal(t, sentBefore, sentCount.Load(), "a throttled request is not sent")
		return true
	}, 5*time.Second, time.Millisecond)
	resp, _, err := bed.do(http.MethodPost, "/whole/x", "x")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode, "another route is still served")
}
