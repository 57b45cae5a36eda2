package keeperclient

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"laburnumfall/internal/clock"
	"laburnumfall/internal/message"
	"laburnumfall/internal/rpc"
)

// silentKeepers returns a router's uplink to keepers that take connections and say
// nothing.
func silentKeepers(t *testing.T, count int) *Client {
	u := &Client{
		Name: "r1", Clock: clock.NewRealClock(), Log: hclog.NewNullLogger(), Secret: rpc.Secret("0123456789abcdef"),
		Load: func(time.Time) ([]message.Demand, []message.Backlog) { return nil, nil },
	}
	u.links = map[string]*rpc.Conn{}
	var seeds []string
	for range count {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		seeds = append(seeds, l.Addr().String())
	}
	u.SetSeeds(seeds)
	return u
}

// Symptom: after a restart of everything, the routers that start first serve last.
// Sequence: a router asks each keeper before that runs; the questions have no reply;
// then the keepers run.
// Cause: a keeper was asked once a round, and the round went on in silence.
func TestARouterWithoutALeaderKeepsAsking(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	u := silentKeepers(t, 2)
	r := newRound(u)
	for range 5 {
		r.askNext(ctx)
	}
	require.Equal(t, 5, r.count)
	for range 2 * mostAsked {
		r.askNext(ctx)
	}
	require.Equal(t, mostAsked, r.count, "a round is bounded")

	u.last = u.others()[0]
	known := newRound(u)
	for range 5 {
		known.askNext(ctx)
	}
	require.Equal(t, 1, known.count, "where a leader is known, the other one is asked once")
}
