package gateway_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/standin"
)

// largeResponseBytes exceeds the size of buffered responses and of all socket buffers between a
// target and a caller that does not read.
const largeResponseBytes = 32 << 20

// Guards against counting a target as failed, and sending it fewer requests, because callers close
// their connections during large responses. A write error at the caller is not a read error at the
// target.
func TestCallerLeavingLargeResponseIsNotTargetFailure(t *testing.T) {
	bed := newTestbed(t)
	bed.site.Fault = func(target *standin.PlatformTarget, w http.ResponseWriter, r *http.Request) bool {
		target.RecordRun(r)
		target.WriteHeaders(w, r)
		_, _ = io.WriteString(w, strings.Repeat("x", largeResponseBytes)) // fails when the caller leaves
		return true
	}
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := bed.client.Do(bed.newRequest(ctx, http.MethodPost, "/once/x", "x"))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	cancel()
	_ = resp.Body.Close() // the caller has left
	require.Eventually(t, func() bool {
		return strings.Contains(bed.metrics(), `lf_sends_total{result="caller left"} 1`)
	}, 5*time.Second, 5*time.Millisecond, "%s", bed.metrics())
	require.NotContains(t, bed.metrics(), `lf_sends_total{result="broken"}`)
}

// metrics returns the gateway's metrics in the Prometheus text format.
func (bed *testbed) metrics() string {
	w := httptest.NewRecorder()
	bed.gateway.Metrics.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return w.Body.String()
}
