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

// A clearing is an evacuation, from when it was accepted until its end was asked for.
type evacuation struct {
	span
	zone string
}

func zoneName(victim int) string { return fmt.Sprintf("z%d", 1+victim) }

// evacuate plays the evacuation of a zone of targets, and its end.
func (p *player) playEvacuation(ev event) {
	zone := zoneName(ev.Victim)
	if !p.orderEvacuation(zone, false) {
		return
	}
	evac := evacuation{span{start: time.Now()}, zone}
	remaining := time.Duration(ev.Duration)
	if ev.Variant == variantTwice {
		time.Sleep(remaining / 2)
		p.orderEvacuation(zone, false)
		remaining -= time.Since(evac.start)
	}
	time.Sleep(remaining)
	evac.end = time.Now()
	p.orderEvacuation(zone, true)
	p.history.mu.Lock()
	defer p.history.mu.Unlock()
	p.history.evacuations = append(p.history.evacuations, evac)
}

// evacuation sends an order to one keeper after the other until one accepts it.
func (p *player) orderEvacuation(zone string, end bool) bool {
	for deadline, i := time.Now().Add(waitTimeout), 0; time.Now().Before(deadline); i++ {
		if status, _ := p.operator().Evacuate(i%len(p.keepers), zone, end); status == http.StatusOK {
			return true
		}
		time.Sleep(pollInterval)
	}
	p.violations.add("the evacuation of %s (end %t) was not accepted in %s", zone, end, waitTimeout)
	return false
}

// judgeCleared holds the time of a run, sent by a router, against evacuations: it keeps to one
// once it and all keepers were well for long enough to hear of it.
func (h *history) checkEvacuatedZone(target *standin.SiteTarget, run standin.SiteRun, router int, found *violations) {
	for _, evac := range h.evacuations {
		if evac.zone != target.Zone || !evac.overlaps(run.At, run.At) || h.mayBeDelayed(run) {
			continue
		}
		found.check(h.longestHealthySpan(router, evac.start, run.At) <= propagationTime, "%s ran at %s, %s after its zone was evacuated", run.ID, target.ID, run.At.Sub(evac.start))
	}
}

// calm returns the longest stretch of a span in which neither a router nor a keeper was away.
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

// TestJudgeKnowsWorkInEvacuatedZones holds what is judged of evacuations.
func TestDetectsRunsInEvacuatedZone(t *testing.T) {
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	h := newHistory()
	h.evacuations = []evacuation{{span{at(0), at(10)}, "z1"}}
	violationCount := func(zone string, seconds float64) int {
		var found violations
		h.checkEvacuatedZone(&standin.SiteTarget{ID: "t-0", Zone: zone}, standin.SiteRun{At: at(seconds)}, 1, &found)
		return len(found.list)
	}
	require.Zero(t, violationCount("z1", 2))
	require.Equal(t, 1, violationCount("z1", 5))
	require.Zero(t, violationCount("z2", 5), "another zone")
	require.Zero(t, violationCount("z1", 11), "it is over")
	h.recordEventOutage(event{Kind: kindRouter, Victim: 0}, span{at(2), at(3)})
	require.Equal(t, 1, violationCount("z1", 5), "another router was away")
	h.recordEventOutage(event{Kind: kindKeeper}, span{at(2.5), at(3)})
	require.Zero(t, violationCount("z1", 5), "no keeper could tell of it")
	require.Equal(t, 1, violationCount("z1", 7), "it had the time")
	h.recordEventOutage(event{Kind: kindKeeper}, span{at(6.5), at(8)})
	require.Equal(t, 1, violationCount("z1", 9), "it had the time before")
	h.linkFaults = []span{{at(6.5), at(7.5)}}
	require.Zero(t, violationCount("z1", 7), "it was held on the way")
}
