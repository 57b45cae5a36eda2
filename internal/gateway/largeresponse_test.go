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

// largeAnswer is beyond what a router reads whole, and beyond what lies in the
// buffers between a target and a caller that reads nothing.
const largeAnswer = 32 << 20

// Symptom: requests leave a sound target, and its answers are counted as broken.
// Sequence: callers close their connections in the middle of large answers.
// Cause: an answer that cannot be written is taken for one that cannot be read.
func TestACallerThatLeavesALargeAnswerIsNoFaultOfItsTarget(t *testing.T) {
	b := newBed(t)
	b.site.Fault = func(s *standin.SiteTarget, w http.ResponseWriter, r *http.Request) bool {
		s.Ran(r)
		s.Head(w, r)
		_, _ = io.WriteString(w, strings.Repeat("x", largeAnswer)) // the caller leaves meanwhile
		return true
	}
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := b.client.Do(b.request(ctx, http.MethodPost, "/once/x", "x"))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	cancel()
	_ = resp.Body.Close() // it was left
	require.Eventually(t, func() bool {
		return strings.Contains(b.metrics(), `lf_sends_total{result="caller left"} 1`)
	}, 5*time.Second, 5*time.Millisecond, "%s", b.metrics())
	require.NotContains(t, b.metrics(), `lf_sends_total{result="broken"}`)
}

// metrics returns the gateway's metrics as text.
func (b *bed) metrics() string {
	w := httptest.NewRecorder()
	b.gateway.Metrics.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return w.Body.String()
}
