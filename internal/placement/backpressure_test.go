package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/backpressure"
	"laburnumfall/internal/fleet"
)

func newPlacerWithBackpressure(n int) *Placer {
	p := &Placer{Zone: "z0", Routers: 6, Backpressure: &backpressure.Tracker{}}
	p.SetTargets(start, instances(n))
	return p
}

func incarnation(i int) fleet.Incarnation {
	return fleet.Incarnation{ID: fmt.Sprintf("i-%d", i)}
}

// Guards against requests to a target that looks idle because it turns everything away.
func TestBackingOffTargetGetsNothingUntilItsTime(t *testing.T) {
	p := newPlacerWithBackpressure(3)
	p.Backpressure.Record(start, instances(3)[0], backpressure.Signal{Backoff: 3 * time.Second})
	sendMany := func(at time.Duration) (toFirst int) {
		for i := range uint64(30) {
			now := start.Add(at)
			c := send(t, p, now, prompt(i, 1000, 500))
			if c.Target.Incarnation == incarnation(0) {
				toFirst++
			}
			p.EndAttempt(now, c, Refused)
		}
		return toFirst
	}
	require.Zero(t, sendMany(0))
	p.SetTargets(start, instances(3)[1:])
	p.SetTargets(start, instances(3))
	require.Zero(t, sendMany(2999*time.Millisecond), "it was missing from the list for some time")
	require.NotZero(t, sendMany(3*time.Second))
}

// Guards against a request that was chosen before the target asked for a pause and is sent after it.
func TestConfirmSendRejectsBackingOffTarget(t *testing.T) {
	p := newPlacerWithBackpressure(1)
	for _, signal := range []backpressure.Signal{{Backoff: time.Second}, {Leaving: true}} {
		c := send(t, p, start, prompt(1, 1000, 500))
		require.True(t, p.ConfirmSend(start, c))
		p.Backpressure.Record(start, instances(3)[0], signal)
		require.False(t, p.ConfirmSend(start, c))
		p.EndAttempt(start, c, Canceled)
		p.Backpressure = &backpressure.Tracker{}
		p.SetTargets(start, instances(1))
	}
}

func TestLeavingByResponseOutlastsTheList(t *testing.T) {
	p := newPlacerWithBackpressure(2)
	p.Backpressure.Record(start, instances(3)[0], backpressure.Signal{Leaving: true})
	_, ok := p.Choose(start, prompt(1, 1000, 500))
	require.True(t, ok)
	require.False(t, p.Accepts(incarnation(0)))
	require.Equal(t, 1, p.AcceptingCount())
	draining := instances(2)
	draining[0].Leaving = true
	p.SetTargets(start, draining)
	p.SetTargets(start.Add(time.Hour), instances(2)) // by a reader that lags
	for i := range uint64(20) {
		require.Equal(t, incarnation(1), send(t, p, start.Add(time.Hour), prompt(i, 1000, 500)).Target.Incarnation)
	}
}

// Guards against connections to a backing-off target that are closed, and against its end that is
// taken for an expected one.
func TestBackingOffTargetStillAccepts(t *testing.T) {
	p := newPlacerWithBackpressure(2)
	p.Backpressure.Record(start, instances(3)[0], backpressure.Signal{Backoff: time.Second})
	_, ok := p.Choose(start, prompt(1, 1000, 500))
	require.True(t, ok)
	require.True(t, p.Accepts(incarnation(0)))
	require.Equal(t, 2, p.AcceptingCount())
}

func TestAvoidedTargetIsUsedWhileOthersBackOff(t *testing.T) {
	p := newPlacerWithBackpressure(2)
	p.Backpressure.Record(start, instances(3)[0], backpressure.Signal{Backoff: time.Second})
	r := prompt(1, 1000, 500)
	r.Avoid = []fleet.Incarnation{incarnation(1)}
	require.Equal(t, incarnation(1), send(t, p, start, r).Target.Incarnation)
	require.Equal(t, incarnation(0), send(t, p, start.Add(time.Second), r).Target.Incarnation)
}

func TestBackoffEnd(t *testing.T) {
	p := newPlacerWithBackpressure(3)
	r := prompt(1, 1000, 500)
	for i, seconds := range []int{5, 3, 9} {
		_, ok := p.BackoffEnd(start, r)
		require.False(t, ok, "a target takes requests")
		p.Backpressure.Record(start, instances(3)[i], backpressure.Signal{Backoff: time.Duration(seconds) * time.Second})
	}
	end, ok := p.BackoffEnd(start, r)
	require.True(t, ok)
	require.Equal(t, start.Add(3*time.Second), end)
	r.OnlyTarget = "i-2"
	end, ok = p.BackoffEnd(start, r)
	require.True(t, ok)
	require.Equal(t, start.Add(9*time.Second), end)
	_, ok = p.Choose(start.Add(8*time.Second), r)
	require.False(t, ok)
	for i := range 3 {
		p.Backpressure.Record(start, instances(3)[i], backpressure.Signal{Leaving: true})
	}
	_, ok = p.BackoffEnd(start, prompt(1, 1000, 500))
	require.False(t, ok, "all are leaving: nobody knows when")
}
