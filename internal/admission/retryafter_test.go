package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
)

// Guards against late answers for routes with short latency objectives. The shortest Retry-After of
// 300 ms was as long as the target of chat, so half of its late answers were retries, although
// their first token came 50 ms after the retry.
func TestRetryAfterFitsShortLatencyObjective(t *testing.T) {
	for _, latencyObjective := range []time.Duration{200 * time.Millisecond, 300 * time.Millisecond, 400 * time.Millisecond, time.Second} {
		c := newController(64)
		_, refusal := c.Decide(start, func() Request { r := request(30000); r.WithinShare = true; return r }())
		require.Nil(t, refusal)
		c.Shares.CountRequest(start, "x", 5000)
		c.Shares.Spend(start, "x", 5000)
		r := request(100)
		r.Route = &fleet.Route{Kind: fleet.RouteStream, LatencyObjective: latencyObjective, Timeout: 10 * time.Second, MaxEventGap: 300 * time.Millisecond, MaxAttempts: 1, PrefixCached: true}
		_, refusal = c.Decide(start, r)
		require.Equal(t, fleet.ReasonOverShare, refusal.Reason)
		require.LessOrEqual(t, refusal.RetryAfter, latencyObjective/2, "half of the latency objective is left for the answer")
		require.Positive(t, refusal.RetryAfter)
	}
}
