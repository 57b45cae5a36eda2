package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/clock"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/keeperclient"
	"laburnumfall/internal/placement"
)

// Guards against status 502 for a retryable request although another target is available. The first
// attempt was admitted over the account's share because there was capacity; when its target fails,
// there is none left, and the retry must not be charged against the share again.
func TestRetryIsNotRejectedAsOverShare(t *testing.T) {
	g := &Gateway{Clock: clock.NewRealClock()}
	now := g.Clock.Now()
	table := &fleet.RoutingTable{Capacity: 1000, Pools: map[string]fleet.Pool{"p": {Engine: &fleet.Engine{}}}}
	g.SetTargets(keeperclient.State{Table: table, Routers: 1}, []fleet.Instance{{Incarnation: fleet.Incarnation{ID: "a"}, Pool: "p", Slots: 4}, {Incarnation: fleet.Incarnation{ID: "b"}, Pool: "p", Slots: 4}})
	route := &fleet.Route{Kind: fleet.RouteStream, Resumable: true, MaxAttempts: 2, LatencyObjective: time.Second, Timeout: 10 * time.Second, PrefixCached: true}
	newRequest := func() *request {
		r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "/", nil)
		require.NoError(t, err)
		return &request{
			r: r, route: route, pool: "p", account: "x", cost: 100, deadline: now.Add(route.Timeout),
			promptParts: []placement.PromptPart{{ID: 1, Tokens: 10}},
		}
	}
	req := newRequest()
	_, _, ok := g.chooseTarget(now, req)
	require.True(t, ok, "there is capacity")
	req.attempts++
	for range 8 {
		other := newRequest()
		other.withinShare = true
		_, _, ok := g.chooseTarget(now, other)
		require.True(t, ok)
	}
	_, refused, ok := g.chooseTarget(now, newRequest())
	require.False(t, ok)
	require.Equal(t, fleet.ReasonOverShare, refused.reason)
	require.Positive(t, refused.load)
	_, _, ok = g.chooseTarget(now, req)
	require.True(t, ok)
}

// Guards against refusing callers twice in a row after the whole fleet was restarted, so that they
// give up. The delay suited to a router that restarts alone sent them to another router that had
// just started.
func TestRetryAfterDuringFleetStart(t *testing.T) {
	mockClock := &clock.MockClock{Time: time.Unix(1e9, 0)}
	g := &Gateway{Clock: mockClock, startedAt: mockClock.Time}
	refuse := func() refusal {
		r, ok := g.admit(&request{}, keeperclient.State{})
		require.False(t, ok)
		require.Equal(t, fleet.ReasonNoConfig, r.reason)
		return r
	}
	require.Equal(t, minRetryAfter, refuse().retryAfter, "all other routers serve")
	for _, sinceStart := range []time.Duration{singleStartTime, 140 * time.Millisecond, 400 * time.Millisecond, fleetStartTime} {
		mockClock.Time = g.startedAt.Add(sinceStart)
		retryAfter := refuse().retryAfter
		require.GreaterOrEqual(t, sinceStart+retryAfter, fleetStartTime, "no router serves earlier")
		require.Less(t, retryAfter, fleetStartTime+retryJitter)
	}
	mockClock.Time = g.startedAt.Add(time.Minute)
	require.GreaterOrEqual(t, refuse().retryAfter, maxStartRetryAfter)
	require.Less(t, refuse().retryAfter, maxStartRetryAfter+retryJitter)
}
