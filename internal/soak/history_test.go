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
	leaveTime = 4 * time.Second
	// revokeTime is how long after a withdrawal was accepted a key may count.
	revokeTime = 5 * time.Second
	// waitMargin is how long after its deadline a request may go without any end.
	waitMargin = 4 * time.Second
	// unreadTime is how long after its signal a router still has to read what comes in.
	// Later, what was never passed on may have crossed the close.
	unreadTime = 2 * time.Second
	// lateTime and lastTime, counted from the signal, bound what may outlast the grace:
	// what was sent no later than the one and is at work after the other.
	lateTime = 3 * time.Second
	lastTime = standin.GraceSeconds * time.Second * 5 / 6
)

// Whom a fault may hurt, where it is not one router.
const (
	anyRouter = -1
	nobody    = -2
)

// A span is a stretch of time.
type span struct {
	from, to time.Time
}

func (s span) overlaps(from, to time.Time) bool {
	return !s.from.After(to) && !from.After(s.to)
}

// A hurt is a span in which answers by a router may be cut.
type hurt struct {
	span
	router int
}

// A history is what was done to a world, for what follows from it.
type history struct {
	mu      sync.Mutex
	hurts   []hurt
	asleep  []hurt                                // in which a router is out of touch
	absent  []hurt                                // in which a router, or the keepers (anyRouter), were in trouble
	links   []span                                // in which requests may come late to targets
	blind   []span                                // in which the list could not be read
	stops   map[int][]span                        // of routers, from the signal to the exit
	left    map[*standin.PlatformTarget]time.Time // since when the list shows them leaving
	stalls  []span                                // in which the soak itself did not run
	cleared []clearing                            // evacuations
	asked   time.Time                             // when the withdrawal of the guest's key was first sent
	revoked time.Time                             // when it was accepted
}

func newHistory() *history {
	return &history{stops: make(map[int][]span), left: make(map[*standin.PlatformTarget]time.Time)}
}

// fault notes what was done to a process. Keepers' faults cut no answer.
func (h *history) fault(e event, s span) {
	if e.Kind == onRouter {
		h.faultAt(e.Victim, s)
	}
}

// sleep notes that a router stood still and may know old things until the end of the span.
func (h *history) sleep(router int, s span) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.asleep = append(h.asleep, hurt{s, router})
}

// away notes that a router, or a keeper, was in trouble.
func (h *history) away(e event, s span) {
	router := anyRouter
	switch e.Kind {
	case onRouter:
		router = e.Victim
	case onKeeper, onPeer:
	default:
		return
	}
	h.outOfTouch(router, s)
}

func (h *history) outOfTouch(router int, s span) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.absent = append(h.absent, hurt{s, router})
}

// inTouch reports whether a router and all keepers were well at a time and for long enough
// before, so that it knows what the fleet does.
func (h *history) inTouch(router int, at time.Time) bool {
	for _, a := range h.absent {
		if (a.router == anyRouter || a.router == router) && a.overlaps(at.Add(-knownTime), at) {
			return false
		}
	}
	return true
}

// keepersWell reports whether all keepers were well at a time and for long enough before.
func (h *history) keepersWell(at time.Time) bool {
	return h.inTouch(nobody, at)
}

func (h *history) faultAt(router int, s span) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hurts = append(h.hurts, hurt{s, router})
	if router == anyRouter {
		h.links = append(h.links, s)
	}
}

func (h *history) stop(router int, s span) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stops[router] = append(h.stops[router], s)
}

func (h *history) leaves(t *standin.PlatformTarget) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.left[t] = time.Now()
}

func (h *history) unread(s span) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.blind = append(h.blind, s)
}

// judge notes what callers and targets saw against the promises.
func (h *history) judge(attempts []standin.Attempt, site *standin.Platform, n *notes) {
	runs, keys, by := make(map[string]int), make(map[string]string), make(map[string]int)
	for _, a := range attempts {
		keys[a.ID], by[a.ID] = a.Key, a.Router
	}
	for _, t := range site.AllIncarnations() {
		for _, run := range t.Runs() {
			runs[run.RequestID]++
			router, known := by[run.RequestID]
			if !known {
				router = askedRouter(run.RequestID)
			}
			h.judgeRun(t, run, router, n)
			h.judgeCleared(t, run, router, n)
			h.judgeKey(run, keys[run.RequestID], n)
		}
	}
	for _, a := range attempts {
		h.judgeAttempt(a, runs[a.ID], n)
	}
	h.judgeCrashes(site, n)
}

// judgeAttempt holds an attempt that ran so many times against the promises.
func (h *history) judgeAttempt(a standin.Attempt, ran int, n *notes) {
	check := func(ok bool, what string) {
		n.check(ok, "%s %s by router %d, sent %s, ended %s, status %d, ran %d times: %s",
			a.ID, a.Path, a.Router, clockTime(a.Sent), clockTime(a.Ended), a.Status, ran, what)
	}
	check(a.Violation == "", a.Violation)
	check(ran <= 1 || a.Path == "/keyed/x", "it may run only once")
	h.judgeStatus(a, ran, check)
	if a.Status == 0 && !a.Refused && !a.Abandoned {
		h.judgeCut(a, ran, check)
	}
}

// judgeRun holds the time of a run, sent by a router, against the target's leaving.
func (h *history) judgeRun(t *standin.PlatformTarget, run standin.TargetRun, router int, n *notes) {
	left, leaves := h.left[t]
	if !leaves {
		return
	}
	for _, b := range h.blind {
		if b.overlaps(left, left.Add(leaveTime)) {
			left = b.to // nobody could see it
		}
	}
	for _, a := range h.asleep {
		if a.router == router && a.overlaps(run.At, run.At) && !h.keepersWell(run.At) {
			return // there was nobody whom it could have asked
		}
	}
	if h.held(run) {
		return
	}
	n.check(run.At.Sub(left) <= leaveTime, "%s ran at %s, %s after that was shown as leaving", run.RequestID, t.ID, run.At.Sub(left))
}

// held reports whether a request may have been held on its way to the target.
func (h *history) held(run standin.TargetRun) bool {
	for _, l := range h.links {
		if l.overlaps(run.At, run.At) {
			return true
		}
	}
	return false
}

// judgeKey holds the time of a run against the withdrawal of its key: what was let in
// before it waits no longer than its deadline.
func (h *history) judgeKey(run standin.TargetRun, key string, n *notes) {
	if key == guestKey && !h.revoked.IsZero() && !h.held(run) {
		late := run.At.Sub(h.revoked)
		n.check(late <= revokeTime+standin.CallerTimeout, "%s ran %s after its key was withdrawn", run.RequestID, late)
	}
}

// judgeStatus tells whether an answer's status is true.
func (h *history) judgeStatus(a standin.Attempt, ran int, check func(ok bool, what string)) {
	guest := a.Key == guestKey
	switch a.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		check(ran == 0, "told that it did not run")
	case http.StatusUnauthorized:
		check(guest && !h.asked.IsZero() && a.Ended.After(h.asked), "its key counts")
	case http.StatusForbidden, http.StatusNotFound:
		check(false, "its route is there")
	default:
	}
	if guest && !h.revoked.IsZero() && a.Sent.Sub(h.revoked) > revokeTime {
		check(ran == 0, "its key was withdrawn")
	}
}

// judgeCut tells whether a request may have ended without an answer.
func (h *history) judgeCut(a standin.Attempt, ran int, check func(ok bool, what string)) {
	for _, f := range h.hurts {
		if (f.router == anyRouter || f.router == a.Router) && f.overlaps(a.Sent, a.Ended) {
			return
		}
	}
	stalled := h.stalled(a.Sent, a.Ended)
	if a.Ended.Sub(a.Sent)-stalled >= standin.CallerTimeout+waitMargin {
		check(false, "nobody ended it")
		return
	}
	if a.Path == flowPath && a.Ended.Sub(a.Sent) >= standin.CallerTimeout && stalled > standin.CallerTimeout-flowTime {
		return // its deadline passed while its target stood still
	}
	for _, s := range h.stops[a.Router] {
		if !s.overlaps(a.Sent, a.Ended) {
			continue
		}
		sent, ended := a.Sent.Sub(s.from), a.Ended.Sub(s.from)
		crossed := ran == 0 && sent > unreadTime
		outlasted := sent <= lateTime && ended >= lastTime
		check(crossed || outlasted, "cut by a graceful stop")
		return
	}
	check(false, "cut without a fault")
}
