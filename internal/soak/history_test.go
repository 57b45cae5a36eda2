package soak

import (
	"net/http"
	"sync"
	"time"

	"laburnumfall/internal/standin"
)

// The margins of promises that count in seconds are generous: soaks run on busy
// machines, beside each other.
const (
	// leaveTime is how long after the list shows a target as leaving new work may reach it.
	maxDrainLag = 4 * time.Second
	// revokeTime is how long after a withdrawal was accepted a key may count.
	maxRevocationLag = 5 * time.Second
	// waitMargin is how long after its deadline a request may go without any end.
	overdueMargin = 4 * time.Second
	// unreadTime is how long after its signal a router still has to read what comes in.
	// Later, what was never passed on may have crossed the close.
	readAfterStopTime = 2 * time.Second
	// lateTime and lastTime, counted from the signal, bound what may outlast the grace:
	// what was sent no later than the one and is at work after the other.
	graceSendLimit = 3 * time.Second
	graceCutStart  = standin.Grace * time.Second * 5 / 6
)

// Whom a fault may hurt, where it is not one router.
const (
	anyRouter = -1
	noRouter  = -2
)

// A span is a stretch of time.
type span struct {
	start, end time.Time
}

func (s span) overlaps(start, end time.Time) bool {
	return !s.start.After(end) && !start.After(s.end)
}

// A hurt is a span in which answers by a router may be cut.
type routerSpan struct {
	span
	router int
}

// A history is what was done to a world, for what follows from it.
type history struct {
	mu               sync.Mutex
	cutSpans         []routerSpan
	pauses           []routerSpan                      // in which a router is out of touch
	outages          []routerSpan                      // in which a router, or the keepers (anyRouter), were in trouble
	linkFaults       []span                            // in which requests may come late to targets
	listOutages      []span                            // in which the list could not be read
	stops            map[int][]span                    // of routers, from the signal to the exit
	drainedAt        map[*standin.SiteTarget]time.Time // since when the list shows them leaving
	ownStalls        []span                            // in which the soak itself did not run
	evacuations      []evacuation                      // evacuations
	revocationSentAt time.Time                         // when the withdrawal of the guest's key was first sent
	revokedAt        time.Time                         // when it was accepted
}

func newHistory() *history {
	return &history{stops: make(map[int][]span), drainedAt: make(map[*standin.SiteTarget]time.Time)}
}

// fault notes what was done to a process. Keepers' faults cut no answer.
func (h *history) recordRouterFault(ev event, during span) {
	if ev.Kind == kindRouter {
		h.recordCutSpan(ev.Victim, during)
	}
}

// sleep notes that a router stood still and may know old things until the end of the span.
func (h *history) recordPause(router int, during span) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pauses = append(h.pauses, routerSpan{during, router})
}

// away notes that a router, or a keeper, was in trouble.
func (h *history) recordEventOutage(ev event, during span) {
	router := anyRouter
	switch ev.Kind {
	case kindRouter:
		router = ev.Victim
	case kindKeeper, kindKeeperLink:
	default:
		return
	}
	h.recordOutage(router, during)
}

func (h *history) recordOutage(router int, during span) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outages = append(h.outages, routerSpan{during, router})
}

// inTouch reports whether a router and all keepers were well at a time and for long enough
// before, so that it knows what the fleet does.
func (h *history) isHealthy(router int, at time.Time) bool {
	for _, outage := range h.outages {
		if (outage.router == anyRouter || outage.router == router) && outage.overlaps(at.Add(-propagationTime), at) {
			return false
		}
	}
	return true
}

// keepersWell reports whether all keepers were well at a time and for long enough before.
func (h *history) keepersHealthy(at time.Time) bool {
	return h.isHealthy(noRouter, at)
}

func (h *history) recordCutSpan(router int, during span) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cutSpans = append(h.cutSpans, routerSpan{during, router})
	if router == anyRouter {
		h.linkFaults = append(h.linkFaults, during)
	}
}

func (h *history) recordStop(router int, during span) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stops[router] = append(h.stops[router], during)
}

func (h *history) recordDrain(target *standin.SiteTarget) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.drainedAt[target] = time.Now()
}

func (h *history) recordListOutage(during span) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listOutages = append(h.listOutages, during)
}

// judge notes what callers and targets saw against the promises.
func (h *history) checkPromises(attempts []standin.Attempt, site *standin.Site, found *violations) {
	runCounts, keyByID, routerByID := make(map[string]int), make(map[string]string), make(map[string]int)
	for _, attempt := range attempts {
		keyByID[attempt.ID], routerByID[attempt.ID] = attempt.Key, attempt.Router
	}
	for _, target := range site.All() {
		for _, run := range target.Runs() {
			runCounts[run.ID]++
			router, known := routerByID[run.ID]
			if !known {
				router = probedRouter(run.ID)
			}
			h.checkDrainedTarget(target, run, router, found)
			h.checkEvacuatedZone(target, run, router, found)
			h.checkRevokedKey(run, keyByID[run.ID], found)
		}
	}
	for _, attempt := range attempts {
		h.checkAttempt(attempt, runCounts[attempt.ID], found)
	}
	h.checkCrashRequests(site, found)
}

// judgeAttempt holds an attempt that ran so many times against the promises.
func (h *history) checkAttempt(attempt standin.Attempt, runCount int, found *violations) {
	check := func(ok bool, violation string) {
		found.check(ok, "%s %s by router %d, sent %s, ended %s, status %d, ran %d times: %s",
			attempt.ID, attempt.Path, attempt.Router, formatTime(attempt.Sent), formatTime(attempt.Ended), attempt.Status, runCount, violation)
	}
	check(attempt.Wrong == "", attempt.Wrong)
	check(runCount <= 1 || attempt.Path == "/keyed/x", "it may run only once")
	h.checkStatus(attempt, runCount, check)
	if attempt.Status == 0 && !attempt.Refused && !attempt.Left {
		h.checkUnanswered(attempt, runCount, check)
	}
}

// judgeRun holds the time of a run, sent by a router, against the target's leaving.
func (h *history) checkDrainedTarget(target *standin.SiteTarget, run standin.SiteRun, router int, found *violations) {
	drainedAt, drained := h.drainedAt[target]
	if !drained {
		return
	}
	for _, outage := range h.listOutages {
		if outage.overlaps(drainedAt, drainedAt.Add(maxDrainLag)) {
			drainedAt = outage.end // nobody could see it
		}
	}
	for _, pause := range h.pauses {
		if pause.router == router && pause.overlaps(run.At, run.At) && !h.keepersHealthy(run.At) {
			return // there was nobody whom it could have asked
		}
	}
	if h.mayBeDelayed(run) {
		return
	}
	found.check(run.At.Sub(drainedAt) <= maxDrainLag, "%s ran at %s, %s after that was shown as leaving", run.ID, target.ID, run.At.Sub(drainedAt))
}

// held reports whether a request may have been held on its way to the target.
func (h *history) mayBeDelayed(run standin.SiteRun) bool {
	for _, fault := range h.linkFaults {
		if fault.overlaps(run.At, run.At) {
			return true
		}
	}
	return false
}

// judgeKey holds the time of a run against the withdrawal of its key: what was let in
// before it waits no longer than its deadline.
func (h *history) checkRevokedKey(run standin.SiteRun, key string, found *violations) {
	if key == guestKey && !h.revokedAt.IsZero() && !h.mayBeDelayed(run) {
		lag := run.At.Sub(h.revokedAt)
		found.check(lag <= maxRevocationLag+standin.CallerTime, "%s ran %s after its key was withdrawn", run.ID, lag)
	}
}

// judgeStatus tells whether an answer's status is true.
func (h *history) checkStatus(attempt standin.Attempt, runCount int, check func(ok bool, violation string)) {
	isGuest := attempt.Key == guestKey
	switch attempt.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		check(runCount == 0, "told that it did not run")
	case http.StatusUnauthorized:
		check(isGuest && !h.revocationSentAt.IsZero() && attempt.Ended.After(h.revocationSentAt), "its key counts")
	case http.StatusForbidden, http.StatusNotFound:
		check(false, "its route is there")
	default:
	}
	if isGuest && !h.revokedAt.IsZero() && attempt.Sent.Sub(h.revokedAt) > maxRevocationLag {
		check(runCount == 0, "its key was withdrawn")
	}
}

// judgeCut tells whether a request may have ended without an answer.
func (h *history) checkUnanswered(attempt standin.Attempt, runCount int, check func(ok bool, violation string)) {
	for _, fault := range h.cutSpans {
		if (fault.router == anyRouter || fault.router == attempt.Router) && fault.overlaps(attempt.Sent, attempt.Ended) {
			return
		}
	}
	stalled := h.stalledDuring(attempt.Sent, attempt.Ended)
	if attempt.Ended.Sub(attempt.Sent)-stalled >= standin.CallerTime+overdueMargin {
		check(false, "nobody ended it")
		return
	}
	if attempt.Path == streamPath && attempt.Ended.Sub(attempt.Sent) >= standin.CallerTime && stalled > standin.CallerTime-streamTime {
		return // its deadline passed while its target stood still
	}
	for _, stop := range h.stops[attempt.Router] {
		if !stop.overlaps(attempt.Sent, attempt.Ended) {
			continue
		}
		sent, ended := attempt.Sent.Sub(stop.start), attempt.Ended.Sub(stop.start)
		unread := runCount == 0 && sent > readAfterStopTime
		cutByGrace := sent <= graceSendLimit && ended >= graceCutStart
		check(unread || cutByGrace, "cut by a graceful stop")
		return
	}
	check(false, "cut without a fault")
}
