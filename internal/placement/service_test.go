package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
)

// Symptom: requests to a busy plain service are refused by routers, though it
// would have answered them well within their aim.
// Sequence: the slots of a service of 30 ms are all taken for some seconds, with as
// many requests waiting; each answer takes 60 to 90 ms.
// Cause: the time of answers, waiting included, was taken for the service's own, and
// the wait was then counted once more on top of it.
func TestWaitingForSlotsIsNotTakenForWork(t *testing.T) {
	const slots, work = 6, 30 * time.Millisecond
	p := &Placer{Zone: "z0"}
	p.SetTargets(start, []fleet.Instance{{Incarnation: fleet.Incarnation{ID: "s"}, Pool: "plain", Zone: "z0", Slots: slots}})
	now := start
	var queue []*Choice
	for range 200 {
		for len(queue) < 3*slots {
			queue = append(queue, send(t, p, now, Request{Pool: "plain"}))
		}
		now = now.Add(work) // one round of slots
		for _, c := range queue[:slots] {
			p.RecordFirstByte(now, c)
			p.EndAttempt(now, c, Served)
		}
		queue = queue[slots:]
	}
	c, ok := p.Choose(now, Request{Pool: "plain"})
	require.True(t, ok)
	require.Greater(t, c.PredictedTTFB, 2*work)
	require.Less(t, c.PredictedTTFB, 4*work)
}

func TestWaitingThatATargetTellsIsNotCountedTwice(t *testing.T) {
	p := &Placer{Zone: "z0"}
	p.SetTargets(start, []fleet.Instance{{Incarnation: fleet.Incarnation{ID: "s"}, Pool: "plain", Zone: "z0", Slots: 6}})
	for range 18 {
		send(t, p, start, Request{Pool: "plain"})
	}
	before, _ := p.Choose(start, Request{Pool: "plain"})
	p.SetReportedQueue(start, fleet.Incarnation{ID: "s"}, 12) // it tells what this router knows
	after, _ := p.Choose(start, Request{Pool: "plain"})
	require.Equal(t, before.PredictedTTFB, after.PredictedTTFB)
	p.SetReportedQueue(start, fleet.Incarnation{ID: "s"}, 18) // others have sent it more
	more, _ := p.Choose(start, Request{Pool: "plain"})
	require.Greater(t, more.PredictedTTFB, after.PredictedTTFB)
}
