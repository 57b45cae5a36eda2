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

// Symptom: callers on a route with few requests are refused as often as those that
// flood another route to the same service.
// Sequence: the targets of a plain service refuse one request after the other for
// lack of room.
// Cause: the router sends everything on, and leaves the choice to chance.
func TestSurplusOfACrowdedServiceIsKeptBack(t *testing.T) {
	b := newBed(t)
	var arrived atomic.Int64
	b.site.Fault = func(_ *standin.SiteTarget, w http.ResponseWriter, r *http.Request) bool {
		if strings.HasPrefix(r.URL.Path, "/whole/") {
			return false
		}
		arrived.Add(1)
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	require.Eventually(t, func() bool {
		before := arrived.Load()
		resp, text, err := b.do(http.MethodPost, "/once/x", "x")
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		require.NotEmpty(t, resp.Header.Get("Retry-After"))
		if !strings.Contains(text, string(fleet.ReasonServiceOverloaded)) {
			return false
		}
		require.Equal(t, before, arrived.Load(), "it is not sent")
		return true
	}, 5*time.Second, time.Millisecond)
	resp, _, err := b.do(http.MethodPost, "/whole/x", "x")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode, "another route has its turn")
}
