package router_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"laburnumfall/internal/clock"
	"laburnumfall/internal/router"
	"laburnumfall/internal/settings"
)

// A stallClock is a clock that jumps by the length of each simulated stall.
type stallClock struct {
	*clock.RealClock
	stalled atomic.Int64 // nanoseconds
}

// Now implements clock.Clock.
func (c *stallClock) Now() time.Time {
	return c.RealClock.Now().Add(time.Duration(c.stalled.Load()))
}

// A stallingSink stalls a router once, right after the scheduler has decided to send a request.
type stallingSink struct {
	clock   *stallClock
	length  time.Duration
	stalled atomic.Bool
}

// Accept implements hclog.SinkAdapter.
func (s *stallingSink) Accept(_ string, _ hclog.Level, msg string, _ ...any) {
	if msg == "route" && !s.stalled.Swap(true) {
		s.clock.stalled.Add(int64(s.length))
	}
}

// A request must not be sent after a stall that began when it had its slot: the lease on the slot has
// expired and another router may use it, or the time of the request is up.
func TestStallAfterDecisionSendsNothing(t *testing.T) {
	for name, tt := range map[string]struct {
		deadline time.Duration // of the request; 0 for none
		length   time.Duration
		status   int
	}{
		"lease expired":   {length: 5 * time.Second, status: http.StatusServiceUnavailable},
		"deadline passed": {length: 1200 * time.Millisecond, deadline: time.Second, status: http.StatusGatewayTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			target, count := startCountingTarget(t, "a", http.StatusOK, "", "")
			stalls := &stallClock{RealClock: clock.NewRealClock()}
			f := startChangedFleet(t, func(r *router.Router) {
				log := hclog.NewInterceptLogger(&hclog.LoggerOptions{Level: hclog.Off})
				log.RegisterSink(&stallingSink{clock: stalls, length: tt.length})
				r.Log, r.Clock = log, stalls
			}, settings.Router{}, target)
			req, err := http.NewRequest(http.MethodPost, "http://"+f.router+"/e/a/x", strings.NewReader("work"))
			require.NoError(t, err)
			req.Header.Set("Authorization", "Bearer "+testKey)
			if tt.deadline > 0 {
				req.Header.Set("Lf-Deadline", stalls.Now().Add(tt.deadline).Format(time.RFC3339Nano))
			}
			resp, err := http.DefaultClient.Do(req)
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			require.Equal(t, tt.status, resp.StatusCode)
			require.Equal(t, "unrun", resp.Header.Get("Lf-Outcome"))
			require.NotEmpty(t, resp.Header.Get("Retry-After"))
			require.Zero(t, count.Load())
		})
	}
}
