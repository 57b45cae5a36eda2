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
type clearing struct {
	span
	zone string
}

func zoneName(victim int) string { return fmt.Sprintf("z%d", 1+victim) }

// evacuate plays the evacuation of a zone of targets, and its end.
func (p *player) evacuate(e event) {
	zone := zoneName(e.Victim)
	if !p.evacuation(zone, false) {
		return
	}
	c := clearing{span{from: time.Now()}, zone}
	rest := time.Duration(e.For)
	if e.How == howTwice {
		time.Sleep(rest / 2)
		p.evacuation(zone, false)
		rest -= time.Since(c.from)
	}
	time.Sleep(rest)
	c.to = time.Now()
	p.evacuation(zone, true)
	p.history.mu.Lock()
	defer p.history.mu.Unlock()
	p.history.cleared = append(p.history.cleared, c)
}

// evacuation sends an order to one keeper after the other until one accepts it.
func (p *player) evacuation(zone string, end bool) bool {
	for until, n := time.Now().Add(patience), 0; time.Now().Before(until); n++ {
		if status, _ := p.operator().Evacuate(n%len(p.keepers), zone, end); status == http.StatusOK {
			return true
		}
		time.Sleep(poll)
	}
	p.notes.add("the evacuation of %s (end %t) was not accepted in %s", zone, end, patience)
	return false
}

// judgeCleared holds the time of a run, sent by a router, against evacuations: it keeps to one
// once it and all keepers were well for long enough to hear of it.
func (h *history) judgeCleared(t *standin.PlatformTarget, run standin.TargetRun, router int, n *notes) {
	for _, c := range h.cleared {
		if c.zone != t.Zone || !c.overlaps(run.At, run.At) || h.held(run) {
			continue
		}
		n.check(h.calm(router, c.from, run.At) <= knownTime, "%s ran at %s, %s after its zone was evacuated", run.RequestID, t.ID, run.At.Sub(c.from))
	}
}

// calm returns the longest stretch of a span in which neither a router nor a keeper was away.
func (h *history) calm(router int, from, to time.Time) time.Duration {
	away := slices.Clone(h.absent)
	slices.SortFunc(away, func(a, b hurt) int { return a.from.Compare(b.from) })
	var longest time.Duration
	for _, a := range away {
		if a.router != anyRouter && a.router != router || a.to.Before(from) || a.from.After(to) {
			continue
		}
		longest = max(longest, a.from.Sub(from))
		from = a.to
	}
	return max(longest, to.Sub(from))
}

// TestJudgeKnowsWorkInEvacuatedZones holds what is judged of evacuations.
func TestJudgeKnowsWorkInEvacuatedZones(t *testing.T) {
	zero := time.Now()
	at := func(s float64) time.Time { return zero.Add(time.Duration(s * float64(time.Second))) }
	h := newHistory()
	h.cleared = []clearing{{span{at(0), at(10)}, "z1"}}
	judge := func(zone string, second float64) int {
		var n notes
		h.judgeCleared(&standin.PlatformTarget{ID: "t-0", Zone: zone}, standin.TargetRun{At: at(second)}, 1, &n)
		return len(n.list)
	}
	require.Zero(t, judge("z1", 2))
	require.Equal(t, 1, judge("z1", 5))
	require.Zero(t, judge("z2", 5), "another zone")
	require.Zero(t, judge("z1", 11), "it is over")
	h.away(event{Kind: onRouter, Victim: 0}, span{at(2), at(3)})
	require.Equal(t, 1, judge("z1", 5), "another router was away")
	h.away(event{Kind: onKeeper}, span{at(2.5), at(3)})
	require.Zero(t, judge("z1", 5), "no keeper could tell of it")
	require.Equal(t, 1, judge("z1", 7), "it had the time")
	h.away(event{Kind: onKeeper}, span{at(6.5), at(8)})
	require.Equal(t, 1, judge("z1", 9), "it had the time before")
	h.links = []span{{at(6.5), at(7.5)}}
	require.Zero(t, judge("z1", 7), "it was held on the way")
}
