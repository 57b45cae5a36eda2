package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/fleet"
)

// Guards against a burst of failed requests each time the failure rate of a broken target has
// decayed: without probation it gets requests at the full rate until the first one has failed.
func TestFailedTargetRecoversGradually(t *testing.T) {
	p := newPlacer(3)
	r := prompt(1, 13000, 200)
	owner := p.cacheOwners(start, r).owner.ID
	now := start
	for range 10 {
		c := send(t, p, now, r)
		result := Served
		if c.Target.ID == owner {
			result = Failed
		}
		p.RecordFirstByte(now, c)
		p.EndAttempt(now, c, result)
		now = now.Add(20 * time.Millisecond)
	}
	now = now.Add(time.Minute)
	var inFlight []*Choice
	inFlightAtOwner := func() int {
		count := 0
		for _, c := range inFlight {
			if c.Target.ID == owner {
				count++
			}
		}
		return count
	}
	for range 12 {
		inFlight = append(inFlight, send(t, p, now, r))
	}
	require.Equal(t, 1, inFlightAtOwner(), "one probe; 12 without probation")
	maxInFlight := 1
	const enough = trustedConcurrency / 2
	for maxInFlight < enough {
		for _, c := range inFlight {
			p.RecordFirstByte(now, c)
			p.EndAttempt(now, c, Served)
		}
		maxInFlight = min(2*maxInFlight, 1<<inFlightAtOwner())
		inFlight = nil
		for range 3 * enough {
			inFlight = append(inFlight, send(t, p, now, r))
		}
		now = now.Add(time.Second)
	}
	require.GreaterOrEqual(t, inFlightAtOwner(), enough, "probation has ended")
}

// Guards against sending nothing when all targets of a pool fail for a while and all are on
// probation.
func TestPoolWideFailuresDoNotBlockTargets(t *testing.T) {
	p := &Placer{Zone: "z0"}
	var list []fleet.Instance
	for _, id := range []string{"a", "b", "c"} {
		list = append(list, fleet.Instance{Incarnation: fleet.Incarnation{ID: id}, Pool: "plain", Zone: "z0", Slots: 8})
	}
	p.SetTargets(start, list)
	now := start
	for range 60 {
		c := send(t, p, now, Request{Pool: "plain"})
		p.RecordFirstByte(now, c)
		p.EndAttempt(now, c, Failed)
		now = now.Add(20 * time.Millisecond)
	}
	counts := map[string]int{}
	for range 24 {
		counts[send(t, p, now, Request{Pool: "plain"}).Target.ID]++
	}
	require.Len(t, counts, 3)
	for id, count := range counts {
		require.LessOrEqual(t, count, 12, id)
	}
}
