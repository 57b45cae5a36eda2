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

// newClientOfSilentKeepers returns a client of keepers that accept connections and never send
// anything.
func newClientWithSilentKeepers(t *testing.T, count int) *Client {
	client := &Client{
		Name: "r1", Clock: clock.NewRealClock(), Log: hclog.NewNullLogger(), Secret: rpc.Secret("0123456789abcdef"),
		Load: func(time.Time) ([]message.Demand, []message.Backlog) { return nil, nil },
	}
	client.conns = map[string]*rpc.Conn{}
	var seeds []string
	for range count {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		seeds = append(seeds, listener.Addr().String())
	}
	client.SetSeeds(seeds)
	return client
}

// Guards against routers that start first and get their configuration last after a restart of the
// whole fleet. A router asks keepers that do not run yet, gets no reply, and must ask them again
// within the same round.
func TestRepeatsRequestsWithoutLeader(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	client := newClientWithSilentKeepers(t, 2)
	round := newRenewalRound(client)
	for range 5 {
		round.sendToNext(ctx)
	}
	require.Equal(t, 5, round.requestCount)
	for range 2 * maxRoundRequests {
		round.sendToNext(ctx)
	}
	require.Equal(t, maxRoundRequests, round.requestCount, "the number of requests of a round must be limited")

	client.likelyLeader = client.knownKeepers()[0]
	roundWithLeader := newRenewalRound(client)
	for range 5 {
		roundWithLeader.sendToNext(ctx)
	}
	require.Equal(t, 1, roundWithLeader.requestCount, "with a known leader, the other keeper must be asked only once")
}
