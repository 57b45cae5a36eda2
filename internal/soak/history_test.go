package soak

import (
	"net/http"
	"sync"
	"time"

	"laburnumfall/internal/standin"
)

// Time limits of the checks. They are generous where the promise is in seconds: soak tests run on busy
// machines and in parallel.
const (
	// maxDrainLag is how long new work may still reach a target after the list shows it as draining.
	maxDrainLag = 4 * time.Second
	// maxRevocationLag is how long a key may stay valid after its revocation was accepted.
	maxRevocationLag = 5 * time.Second
	// overdueMargin is how long after its deadline a request may take to end.
	overdueMargin = 4 * time.Second
	// readAfterStopTime is how long a router must still read incoming requests after SIGTERM. A later
	// request that was never forwarded may have arrived while the connection was closed.
	readAfterStopTime = 2 * time.Second
	// graceSendLimit and graceCutStart bound, counted from SIGTERM, which requests the end of the grace
	// period may cut: those sent no later than the first and still running after the second.
	graceSendLimit = 3 * time.Second
	graceCutStart  = standin.GraceSeconds * time.Second * 5 / 6
)

// The values that stand for a router's index in records and lookups where no single router is meant.
const (
	anyRouter = -1 // all routers
	noRouter  = -2 // in records: no router; in lookups: only records of anyRouter match
)

// A span is the time from start to end, both included.
type span struct {
	start, end time.Time
}

// overlaps reports whether the span has a time in common with another one.
func (s span) overlaps(start, end time.Time) bool {
	return !s.start.After(end) && !start.After(s.end)
}

// A routerSpan is a span that concerns one router, or all of them (anyRouter).
type routerSpan struct {
	span
	router int
}

// A history records the faults and changes of a run. The checks use it to decide which outcomes are
// allowed.
type history struct {
	mu               sync.Mutex
	cutSpans         []routerSpan                          // in which answers by a router may be cut
	pauses           []routerSpan                          // in which a router was paused and may act on stale data
	routerPauses     []routerSpan                          // of these, pauses of single routers
	outages          []routerSpan                          // in which a router, or a keeper (anyRouter), had a fault
	linkFaults       []span                                // in which requests may reach targets late
	listOutages      []span                                // in which the list of targets could not be read
	stops            map[int][]span                        // of routers, from SIGTERM to the exit
	drainedAt        map[*standin.PlatformTarget]time.Time // when the list began to show a target as draining
	ownStalls        []span                                // in which the test process did not run
	evacuations      []evacuation
	splitAttempts    []standin.Attempt // the requests of startSplitRequests
	revocationSentAt time.Time         // when the revocation of the guest's key was first sent
	revokedAt        time.Time         // when the revocation was accepted
}

func newHistory() *history {
	return &history{stops: make(map[int][]span), drainedAt: make(map[*standin.PlatformTarget]time.Time)}
}

// recordRouterFault records the span of a process fault in which answers may be cut. Faults of
// keepers cut no answers.
func (h *history) recordRouterFault(ev event, during span) {
	if ev.Kind == kindRouter {
		h.recordCutSpan(ev.Victim, during)
	}
}

// recordPause records that a router was paused and may act on stale data until the end of the span.
func (h *history) recordPause(router int, during span) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pauses = append(h.pauses, routerSpan{during, router})
}

// recordRouterPause records that a single router was paused. Its callers may give up until the end of
// the span.
func (h *history) recordRouterPause(router int, during span) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.routerPauses = append(h.routerPauses, routerSpan{during, router})
}

// recordEventOutage records the outage of the router or keeper that an event concerns. Events of
// other kinds are no outage.
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

// recordOutage records an outage of a router, or of a keeper (anyRouter).
func (h *history) recordOutage(router int, during span) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outages = append(h.outages, routerSpan{during, router})
}

// isHealthy reports whether a router and all keepers had no outage at a time and in the
// propagationTime before it, so that the router has up-to-date data.
func (h *history) isHealthy(router int, at time.Time) bool {
	for _, outage := range h.outages {
		if (outage.router == anyRouter || outage.router == router) && outage.overlaps(at.Add(-propagationTime), at) {
			return false
		}
	}
	return true
}

// keepersHealthy reports the same for all keepers alone.
func (h *history) keepersHealthy(at time.Time) bool {
	return h.isHealthy(noRouter, at)
}

// recordCutSpan records a span in which answers by a router may be cut. With anyRouter, requests may
// reach targets late as well.
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

func (h *history) recordDrain(target *standin.PlatformTarget) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.drainedAt[target] = time.Now()
}

func (h *history) recordListOutage(during span) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listOutages = append(h.listOutages, during)
}

// checkPromises checks everything that callers and targets recorded against the promises, and adds
// each violation to found.
func (h *history) checkPromises(attempts []standin.Attempt, platform *standin.Platform, found *violations) {
	runCounts, keyByID, routerByID := make(map[string]int), make(map[string]string), make(map[string]int)
	for _, attempt := range attempts {
		keyByID[attempt.ID], routerByID[attempt.ID] = attempt.Key, attempt.Router
	}
	for _, target := range platform.AllIncarnations() {
		for _, run := range target.Runs() {
			runCounts[run.RequestID]++
			router, known := routerByID[run.RequestID]
			if !known {
				router = probedRouter(run.RequestID)
			}
			h.checkDrainedTarget(target, run, router, found)
			h.checkEvacuatedZone(target, run, router, found)
			h.checkRevokedKey(run, keyByID[run.RequestID], found)
		}
	}
	for _, attempt := range attempts {
		h.checkAttempt(attempt, runCounts[attempt.ID], found)
	}
	h.checkCrashRequests(platform, found)
}

// checkBackpressure checks that routers heeded what targets said about further requests.
func (h *history) checkBackpressure(attempts []standin.Attempt, arrivals []arrival, found *violations) {
	routers, sent := make(map[string]int), make(map[string]time.Time)
	for _, attempt := range attempts {
		routers[attempt.ID], sent[attempt.ID] = attempt.Router, attempt.Sent
	}
	for _, arrived := range arrivals {
		if _, known := routers[arrived.requestID]; !known {
			routers[arrived.requestID], sent[arrived.requestID] = probedRouter(arrived.requestID), arrived.at
		}
	}
	h.checkArrivals(arrivals, routers, sent, found)
}

// checkAttempt checks a caller's attempt that targets ran runCount times.
func (h *history) checkAttempt(attempt standin.Attempt, runCount int, found *violations) {
	check := func(ok bool, violation string) {
		found.check(ok, "%s %s through router %d, sent %s, ended %s, status %d, ran %d times: %s",
			attempt.ID, attempt.Path, attempt.Router, formatTime(attempt.Sent), formatTime(attempt.Ended), attempt.Status, runCount, violation)
	}
	check(attempt.Violation == "", attempt.Violation)
	check(runCount <= 1 || attempt.Path == "/keyed/x" || attempt.Path == lettersPath, "a request that is not idempotent must run at most once")
	h.checkStatus(attempt, runCount, check)
	if attempt.Status == 0 && !attempt.Refused && !attempt.Abandoned && attempt.Violation == "" {
		h.checkUnanswered(attempt, runCount, check)
	}
}

// checkDrainedTarget checks that a request which a router sent to a draining target ran no later than
// maxDrainLag after routers could read that from the list.
func (h *history) checkDrainedTarget(target *standin.PlatformTarget, run standin.TargetRun, router int, found *violations) {
	drainedAt, drained := h.drainedAt[target]
	if !drained {
		return
	}
	for _, outage := range h.listOutages {
		if outage.overlaps(drainedAt, drainedAt.Add(maxDrainLag)) {
			drainedAt = outage.end // routers could not read that it drains
		}
	}
	for _, pause := range h.pauses {
		if pause.router == router && pause.overlaps(run.At, run.At) && !h.keepersHealthy(run.At) {
			return // the router could not get the current list from a keeper after its pause
		}
	}
	if h.mayBeDelayed(run) {
		return
	}
	found.check(run.At.Sub(drainedAt) <= maxDrainLag, "%s ran at %s, %s after the list showed the target as draining", run.RequestID, target.ID, run.At.Sub(drainedAt))
}

// mayBeDelayed reports whether a link fault may have delayed a request on its way to the target.
func (h *history) mayBeDelayed(run standin.TargetRun) bool {
	for _, fault := range h.linkFaults {
		if fault.overlaps(run.At, run.At) {
			return true
		}
	}
	return false
}

// checkRevokedKey checks that no request ran with the guest's key too long after its revocation. A
// request that was admitted while the key was valid may wait for at most its deadline.
func (h *history) checkRevokedKey(run standin.TargetRun, key string, found *violations) {
	if key == guestKey && !h.revokedAt.IsZero() && !h.mayBeDelayed(run) {
		lag := run.At.Sub(h.revokedAt)
		found.check(lag <= maxRevocationLag+standin.CallerTimeout, "%s ran %s after its key was revoked", run.RequestID, lag)
	}
}

// checkStatus checks that the status of an answer agrees with the number of runs and with the
// configuration.
func (h *history) checkStatus(attempt standin.Attempt, runCount int, check func(ok bool, violation string)) {
	isGuest := attempt.Key == guestKey
	switch attempt.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		check(runCount == 0, "it ran although the status says that it was not executed")
	case http.StatusUnauthorized:
		check(isGuest && !h.revocationSentAt.IsZero() && attempt.Ended.After(h.revocationSentAt), "its key is valid")
	case http.StatusBadRequest:
		check(false, "its request is well-formed")
	case http.StatusForbidden, http.StatusNotFound:
		check(false, "its route exists and its account may use it")
	default:
	}
	if isGuest && !h.revokedAt.IsZero() && attempt.Sent.Sub(h.revokedAt) > maxRevocationLag {
		check(runCount == 0, "it ran although its key was revoked")
	}
}

// checkUnanswered checks that a fault, a stall or a graceful shutdown of its router explains why an
// attempt ended without an answer.
func (h *history) checkUnanswered(attempt standin.Attempt, runCount int, check func(ok bool, violation string)) {
	for _, fault := range h.cutSpans {
		if (fault.router == anyRouter || fault.router == attempt.Router) && fault.overlaps(attempt.Sent, attempt.Ended) {
			return
		}
	}
	for _, pause := range h.routerPauses {
		if attempt.GaveUp && pause.router == attempt.Router && pause.overlaps(attempt.Sent, attempt.Ended) {
			return
		}
	}
	stalled := h.stalledDuring(attempt.Sent, attempt.Ended)
	if attempt.Ended.Sub(attempt.Sent)-stalled >= standin.CallerTimeout+overdueMargin {
		check(false, "it did not end by its deadline")
		return
	}
	if (attempt.Path == streamPath || attempt.Path == lettersPath) && attempt.Ended.Sub(attempt.Sent) >= standin.CallerTimeout && stalled > standin.CallerTimeout-streamTime {
		return // its deadline passed while the test process, and its target in it, was stalled
	}
	for _, stop := range h.stops[attempt.Router] {
		if !stop.overlaps(attempt.Sent, attempt.Ended) {
			continue
		}
		sent, ended := attempt.Sent.Sub(stop.start), attempt.Ended.Sub(stop.start)
		unread := runCount == 0 && sent > readAfterStopTime
		cutByGrace := sent <= graceSendLimit && ended >= graceCutStart
		check(unread || cutByGrace, "cut by a graceful shutdown")
		return
	}
	check(false, "cut without a fault")
}
