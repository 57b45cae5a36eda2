package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/backpressure"
	"laburnumfall/internal/fleet"
)

// Guards against callers that are told to come back while all targets still want no requests.
func TestRefusalWhileAllTargetsBackOffNamesTheirTime(t *testing.T) {
	c := newController(64)
	c.Placer.Backpressure = &backpressure.Tracker{}
	c.Placer.Backpressure.Record(start, fleet.Instance{Incarnation: fleet.Incarnation{ID: "a"}}, backpressure.Signal{Backoff: 2 * time.Second})
	_, refusal := c.Decide(start, request(100))
	require.Equal(t, &Refusal{Reason: fleet.ReasonAllBackingOff, RetryAfter: 2 * time.Second}, refusal)
	_, refusal = c.Decide(start.Add(1999*time.Millisecond), request(100))
	require.Equal(t, &Refusal{Reason: fleet.ReasonAllBackingOff, RetryAfter: MinRetryAfter}, refusal)
	_, refusal = c.Decide(start.Add(2*time.Second), request(100))
	require.Nil(t, refusal)
}
