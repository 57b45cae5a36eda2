package soak

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/standin"
)

const (
	// backoffTime is what a target asks for that turns requests away.
	backoffTime = 2 * time.Second
	// backoffReadTime is how long the response may take to its router, and maxBackoffArrivals how many
	// requests of that router may reach the target between that and the end of the backoff.
	backoffReadTime    = 500 * time.Millisecond
	maxBackoffArrivals = 2
)

// An arrival is a request that has reached a target which signals backpressure, or has done so.
type arrival struct {
	target    *standin.PlatformTarget
	requestID string
	at        time.Time
	backsOff  bool // the response asked for backoffTime
	leaving   bool // the response said that the target leaves
}

// backpressure holds which targets signal backpressure, and the requests that have reached them.
type backpressure struct {
	mu       sync.Mutex
	backsOff map[*standin.PlatformTarget]bool
	leaving  map[*standin.PlatformTarget]bool
	arrivals []arrival
}

// turnAway signals backpressure in the response to a request. It reports whether it wrote the whole
// response.
func (b *backpressure) turnAway(target *standin.PlatformTarget, w http.ResponseWriter, r *http.Request) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	backsOff, signaled := b.backsOff[target]
	leaving := b.leaving[target]
	if !signaled && !leaving {
		return false
	}
	requestID := r.Header.Get("X-Attempt-Id")
	b.arrivals = append(b.arrivals, arrival{target: target, requestID: requestID, at: time.Now(), backsOff: backsOff, leaving: leaving})
	if leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if !backsOff {
		return false
	}
	w.Header().Set("X-Attempt-Id", requestID)
	w.Header().Set("X-Not-Executed", "1")
	w.Header().Set("Retry-After", strconv.Itoa(int(backoffTime.Seconds())))
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

func (b *backpressure) setBackingOff(target *standin.PlatformTarget, backsOff bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.backsOff == nil {
		b.backsOff = make(map[*standin.PlatformTarget]bool)
	}
	b.backsOff[target] = backsOff // kept when it is over, so that arrivals are still recorded
}

func (b *backpressure) setLeaving(target *standin.PlatformTarget) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.leaving == nil {
		b.leaving = make(map[*standin.PlatformTarget]bool)
	}
	b.leaving[target] = true
}

// applyBackoff makes a target, or all of them, turn requests away for the event's duration.
func (d *driver) applyBackoff(ev event) {
	d.mu.Lock()
	targets := append([]*standin.PlatformTarget(nil), d.liveTargets...)
	d.mu.Unlock()
	if ev.Variant != variantAll {
		index := len(targets) - 1 - ev.Victim
		targets = targets[index : index+1]
	}
	for _, target := range targets {
		d.backpressure.setBackingOff(target, true)
	}
	time.Sleep(time.Duration(ev.Duration))
	for _, target := range targets {
		d.backpressure.setBackingOff(target, false)
	}
}

// applyLeave replaces the oldest target. It says in its responses that it leaves, and is listed as
// draining only after the event's duration.
func (d *driver) applyLeave(ev event) {
	d.violations.check(d.addTarget() == nil, "%s could not be applied", ev)
	d.mu.Lock()
	replaced := d.liveTargets[0]
	d.liveTargets = d.liveTargets[1:]
	d.mu.Unlock()
	d.backpressure.setLeaving(replaced)
	time.Sleep(time.Duration(ev.Duration))
	replaced.Drain()
	d.history.recordDrain(replaced)
}

// checkArrivals checks that routers heeded the signals of targets. routers maps the IDs of requests to
// their routers, and sent to the times at which their callers sent them.
func (h *history) checkArrivals(arrivals []arrival, routers map[string]int, sent map[string]time.Time, found *violations) {
	for _, asked := range arrivals {
		router := routers[asked.requestID]
		end, count := asked.at.Add(backoffTime), 0
		for _, later := range arrivals {
			if later.target != asked.target || routers[later.requestID] != router {
				continue
			}
			if asked.backsOff && later.at.After(asked.at.Add(backoffReadTime)) && later.at.Before(end) && !h.mayHaveMissed(router, asked.at, later.at) {
				count++
			}
			if asked.leaving && sent[later.requestID].Sub(asked.at) > maxDrainLag && !h.mayHaveMissed(router, asked.at, later.at) {
				found.add("%s reached %s through router %d %s after the target had told that router that it leaves",
					later.requestID, later.target.ID, router, later.at.Sub(asked.at))
			}
		}
		found.check(count <= maxBackoffArrivals, "%d requests reached %s through router %d in the %s after %s for which it had asked for none",
			count, asked.target.ID, router, backoffTime, formatTime(asked.at))
	}
}

// mayHaveMissed reports whether a router may have missed a signal, or have restarted since.
func (h *history) mayHaveMissed(router int, start, end time.Time) bool {
	for _, outage := range h.outages {
		if outage.router == router && outage.overlaps(start, end) {
			return true
		}
	}
	for _, span := range append(append([]span(nil), h.linkFaults...), h.ownStalls...) {
		if span.overlaps(start, end) {
			return true
		}
	}
	return false
}

// TestDetectsIgnoredBackpressure guards against a checker that accepts requests to targets that want
// none, or that rejects those which a restart, a pause or a link fault explains.
func TestDetectsIgnoredBackpressure(t *testing.T) {
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	target := &standin.PlatformTarget{ID: "t-0"}
	requestsAt := func(requestTimes ...float64) (arrivals []arrival, routers map[string]int, sent map[string]time.Time) {
		routers, sent = make(map[string]int), make(map[string]time.Time)
		for i, seconds := range requestTimes {
			id := strconv.Itoa(i)
			arrivals = append(arrivals, arrival{target: target, requestID: id, at: at(seconds)})
			routers[id], sent[id] = 1, at(seconds)
		}
		return arrivals, routers, sent
	}
	violationCount := func(h *history, signal func(*arrival), requestTimes ...float64) int {
		var found violations
		arrivals, routers, sent := requestsAt(requestTimes...)
		signal(&arrivals[0])
		h.checkArrivals(arrivals, routers, sent, &found)
		return len(found.list)
	}
	backsOff, leaving := func(a *arrival) { a.backsOff = true }, func(a *arrival) { a.leaving = true }
	require.Zero(t, violationCount(newHistory(), backsOff, 0, 0.1, 0.2, 0.4, 1, 1.5, 2.1, 2.2))
	require.Equal(t, 1, violationCount(newHistory(), backsOff, 0, 1, 1.1, 1.2))
	require.Zero(t, violationCount(newHistory(), leaving, 0, 1, 3.9))
	require.Equal(t, 1, violationCount(newHistory(), leaving, 0, 1, 4.1))
	h := newHistory()
	h.recordEventOutage(event{Kind: kindRouter, Victim: 0}, span{at(0.5), at(0.6)})
	require.Equal(t, 1, violationCount(h, backsOff, 0, 1, 1.1, 1.2), "another router restarted")
	h.recordEventOutage(event{Kind: kindRouter, Victim: 1}, span{at(0.5), at(0.6)})
	require.Zero(t, violationCount(h, backsOff, 0, 1, 1.1, 1.2))
	require.Zero(t, violationCount(h, leaving, 0, 9))
	h = newHistory()
	h.linkFaults = []span{{at(0.9), at(1.05)}}
	require.Zero(t, violationCount(h, backsOff, 0, 1, 1.1, 1.2))
	h.ownStalls, h.linkFaults = h.linkFaults, nil
	require.Zero(t, violationCount(h, backsOff, 0, 1, 1.1, 1.2))
}
