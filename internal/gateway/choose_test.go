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

// Symptom: callers get 502 for requests that may be sent again, though another
// target is there.
// Sequence: a request beyond its account's share is sent, since there is room; the
// target fails; by then there is no more room.
// Cause: the second attempt is held against the share once more.
func TestASecondAttemptIsNotHeldAgainstTheShareAgain(t *testing.T) {
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
			parts: []placement.PromptPart{{ID: 1, Tokens: 10}},
		}
	}
	q := newRequest()
	_, _, ok := g.chooseTarget(now, q)
	require.True(t, ok, "there is room")
	q.attempts++
	for range 8 {
		within := newRequest()
		within.withinShare = true
		_, _, ok := g.chooseTarget(now, within)
		require.True(t, ok)
	}
	_, refused, ok := g.chooseTarget(now, newRequest())
	require.False(t, ok)
	require.Equal(t, fleet.ReasonOverShare, refused.reason)
	require.Positive(t, refused.load)
	_, _, ok = g.chooseTarget(now, q)
	require.True(t, ok)
}

// Symptom: after a restart of everything callers are refused twice in a row, and give up.
// Sequence: a router that has just started refuses a caller, who comes back at once, to
// another one that has just started.
// Cause: the time to come back held for a router that starts alone.
func TestACallerOfAFleetThatStartsComesBackLater(t *testing.T) {
	c := &clock.MockClock{Time: time.Unix(1e9, 0)}
	g := &Gateway{Clock: c, startedAt: c.Time}
	refused := func() refusal {
		r, ok := g.admit(&request{}, keeperclient.State{})
		require.False(t, ok)
		require.Equal(t, fleet.ReasonNoConfig, r.reason)
		return r
	}
	require.Equal(t, minRetryAfter, refused().retryAfter, "all others serve")
	for _, without := range []time.Duration{singleStartTime, 140 * time.Millisecond, 400 * time.Millisecond, fleetStartTime} {
		c.Time = g.startedAt.Add(without)
		back := refused().retryAfter
		require.GreaterOrEqual(t, without+back, fleetStartTime, "the fleet does not serve before")
		require.Less(t, back, fleetStartTime+startRetryJitter)
	}
	c.Time = g.startedAt.Add(time.Minute)
	require.GreaterOrEqual(t, refused().retryAfter, maxStartRetryAfter)
	require.Less(t, refused().retryAfter, maxStartRetryAfter+startRetryJitter)
}
