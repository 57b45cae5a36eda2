package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
)

// Symptom: half of the late answers to chat are those of callers that were refused first,
// though their first token came 50 ms after they were back.
// Sequence: a request whose answer is wanted within 300 ms is refused, and its caller told to
// come back after 300 ms.
// Cause: the least time to come back was the same for all, as long as the shortest aim.
func TestARefusedCallerOfAShortAimIsNotLateByComingBack(t *testing.T) {
	for _, aim := range []time.Duration{200 * time.Millisecond, 300 * time.Millisecond, 400 * time.Millisecond, time.Second} {
		d := desk(64)
		_, no := d.Decide(start, func() Request { r := request(30000); r.WithinShare = true; return r }())
		require.Nil(t, no)
		d.Shares.CountRequest(start, "x", 5000)
		d.Shares.Spend(start, "x", 5000)
		r := request(100)
		r.Route = &fleet.Route{Kind: fleet.RouteStream, Aim: aim, Timeout: 10 * time.Second, Pause: 300 * time.Millisecond, Attempts: 1, Cached: true}
		_, no = d.Decide(start, r)
		require.Equal(t, fleet.ReasonOverShare, no.Reason)
		require.LessOrEqual(t, no.RetryAfter, aim/2, "half of the aim is left for the answer")
		require.Positive(t, no.RetryAfter)
	}
}
