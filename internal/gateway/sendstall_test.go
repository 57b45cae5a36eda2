package gateway_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/clock"
	"laburnumfall/internal/gateway"
	"laburnumfall/platform"
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

// stallingHeaders stalls once, right before a request is written.
type stallingHeaders struct {
	platform.Headers
	stall func()
}

// SetRequestHeaders implements gateway.Dialect.
func (h stallingHeaders) SetRequestHeaders(header http.Header, attempt gateway.AttemptInfo) {
	h.stall()
	h.Headers.SetRequestHeaders(header, attempt)
}

// stallingKeys stalls once, after the lease on API keys has been checked before an attempt.
type stallingKeys struct {
	platform.Headers
	calls *atomic.Int32
	stall func()
}

// APIKey implements gateway.Dialect.
func (k stallingKeys) APIKey(header http.Header) string {
	const attemptCall = 2 // the first call is for the admission
	if k.calls.Add(1) == attemptCall {
		k.stall()
	}
	return k.Headers.APIKey(header)
}

// A key must not be accepted after a stall that began when it had been checked: the lease has expired,
// and the key may have been revoked.
func TestStallAfterKeyCheckSendsNothing(t *testing.T) {
	stalls := &stallClock{RealClock: clock.NewRealClock()}
	bed := newTestbedWith(t, func(g *gateway.Gateway) {
		g.Clock = stalls
		g.Dialect = stallingKeys{calls: &atomic.Int32{}, stall: func() { stalls.stalled.Add(int64(1500 * time.Millisecond)) }}
	})
	state := *bed.state.Load()
	state.KeyLeaseExpiry = stalls.Now().Add(time.Second)
	bed.state.Store(&state)
	resp, _, err := bed.do(http.MethodPost, "/stream/stream", "work", "Authorization", "Bearer good-key")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Empty(t, bed.runs())
}

// A request whose deadline passes in a stall right before it is written has not run, and its caller
// must be told so: one that must not be repeated would be lost.
func TestStallBeforeWriteIsNotRun(t *testing.T) {
	stalls := &stallClock{RealClock: clock.NewRealClock()}
	var once atomic.Bool
	bed := newTestbedWith(t, func(g *gateway.Gateway) {
		g.Clock = stalls
		g.Dialect = stallingHeaders{stall: func() {
			if !once.Swap(true) {
				stalls.stalled.Add(int64(10 * time.Second))
			}
		}}
	})
	resp, _, err := bed.do(http.MethodPost, "/once/x", "work")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Empty(t, bed.runs())
	resp, _, err = bed.do(http.MethodPost, "/once/x", "work")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode, "no target counts as failed")
}
