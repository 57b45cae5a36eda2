package soak

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/standin"
)

// An evacuation of a zone spans from the acceptance of the order until the request to end it.
type evacuation struct {
	span
	zone string
}

// zoneName returns the zone of an index, counted from 0.
func zoneName(victim int) string { return fmt.Sprintf("z%d", 1+victim) }

// applyEvacuation evacuates a zone of targets, ends the evacuation after the event's duration and
// records it.
func (d *driver) applyEvacuation(ev event) {
	zone := zoneName(ev.Victim)
	if !d.orderEvacuation(zone, false) {
		return
	}
	evac := evacuation{span{start: time.Now()}, zone}
	remaining := time.Duration(ev.Duration)
	if ev.Variant == variantTwice {
		time.Sleep(remaining / 2)
		d.orderEvacuation(zone, false)
		remaining -= time.Since(evac.start)
	}
	time.Sleep(remaining)
	evac.end = time.Now()
	d.orderEvacuation(zone, true)
	d.history.mu.Lock()
	defer d.history.mu.Unlock()
	d.history.evacuations = append(d.history.evacuations, evac)
}

// orderEvacuation sends an order to evacuate a zone, or to end that, to one keeper after the other
// until one accepts it. It reports whether one did.
func (d *driver) orderEvacuation(zone string, end bool) bool {
	for deadline, i := time.Now().Add(waitTimeout), 0; time.Now().Before(deadline); i++ {
		if status, _ := d.operator().Evacuate(i%len(d.keepers), zone, end); status == http.StatusOK {
			return true
		}
		time.Sleep(pollInterval)
	}
	d.violations.add("the evacuation of %s (end %t) was not accepted in %s", zone, end, waitTimeout)
	return false
}

// checkEvacuatedZone checks that a request which a router sent to a target did not run in an
// evacuated zone. A router must comply once it and all keepers were healthy for propagationTime
// without interruption since the order.
func (h *history) checkEvacuatedZone(target *standin.PlatformTarget, run standin.TargetRun, router int, found *violations) {
	for _, evac := range h.evacuations {
		if evac.zone != target.Zone || !evac.overlaps(run.At, run.At) || h.mayBeDelayed(run) {
			continue
		}
		found.check(h.longestHealthySpan(router, evac.start, run.At) <= propagationTime, "%s ran at %s, %s after its zone was evacuated", run.RequestID, target.ID, run.At.Sub(evac.start))
	}
}

// longestHealthySpan returns the longest time between start and end without an outage of the router
// or of a keeper.
func (h *history) longestHealthySpan(router int, start, end time.Time) time.Duration {
	outages := slices.Clone(h.outages)
	slices.SortFunc(outages, func(a, b routerSpan) int { return a.start.Compare(b.start) })
	var longest time.Duration
	for _, outage := range outages {
		if outage.router != anyRouter && outage.router != router || outage.end.Before(start) || outage.start.After(end) {
			continue
		}
		longest = max(longest, outage.start.Sub(start))
		start = outage.end
	}
	return max(longest, end.Sub(start))
}

// TestDetectsRunsInEvacuatedZone guards against a checker that accepts runs in an evacuated zone, or
// that rejects those which an outage or a link fault explains.
func TestDetectsRunsInEvacuatedZone(t *testing.T) {
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	h := newHistory()
	h.evacuations = []evacuation{{span{at(0), at(10)}, "z1"}}
	violationCount := func(zone string, seconds float64) int {
		var found violations
		h.checkEvacuatedZone(&standin.PlatformTarget{ID: "t-0", Zone: zone}, standin.TargetRun{At: at(seconds)}, 1, &found)
		return len(found.list)
	}
	require.Zero(t, violationCount("z1", 2))
	require.Equal(t, 1, violationCount("z1", 5))
	require.Zero(t, violationCount("z2", 5), "another zone")
	require.Zero(t, violationCount("z1", 11), "the evacuation is over")
	h.recordEventOutage(event{Kind: kindRouter, Victim: 0}, span{at(2), at(3)})
	require.Equal(t, 1, violationCount("z1", 5), "another router had an outage")
	h.recordEventOutage(event{Kind: kindKeeper}, span{at(2.5), at(3)})
	require.Zero(t, violationCount("z1", 5), "a keeper's outage left no healthy span of the propagation time")
	require.Equal(t, 1, violationCount("z1", 7), "healthy for the propagation time after the outage")
	h.recordEventOutage(event{Kind: kindKeeper}, span{at(6.5), at(8)})
	require.Equal(t, 1, violationCount("z1", 9), "healthy for the propagation time before the second outage")
	h.linkFaults = []span{{at(6.5), at(7.5)}}
	require.Zero(t, violationCount("z1", 7), "a link fault may have delayed the request")
}
