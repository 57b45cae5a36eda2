package cmd

import (
	"fmt"
	"net/http"
	"time"

	"laburnumfall/internal/standin"
)

// The keys of a soak's two accounts; the guest's is withdrawn on the way.
const (
	memberKey = "member-key"
	guestKey  = "guest-key"
)

// A span is a stretch of time.
type span struct {
	from, to time.Time
}

func (s span) overlaps(from, to time.Time) bool {
	return s.from.Before(to) && from.Before(s.to)
}

// A history is what a soak did, for what follows from it.
type history struct {
	faults  []span               // that may cut answers
	stops   map[int][]span       // of routers, from the signal to the exit
	drained map[string]time.Time // targets, since when the list shows them leaving
	revoked time.Time            // when the withdrawal of the guest's key was accepted
}

// promised lists what callers and targets saw against the promises.
func (h *history) promised(attempts []standin.Attempt, site *standin.Site) []string {
	var broken []string
	runs := make(map[string]int)
	for _, t := range site.All() {
		left, drains := h.drained[t.ID]
		for _, run := range t.Runs() {
			runs[run.ID]++
			if drains && run.At.Sub(left) > 4*time.Second {
				broken = append(broken, fmt.Sprintf("%s ran at %s, %s after it was shown as leaving", run.ID, t.ID, run.At.Sub(left)))
			}
		}
	}
	for _, a := range attempts {
		for _, what := range h.judge(a, runs[a.ID]) {
			broken = append(broken, fmt.Sprintf("%s %s by router %d at %s, status %d, ran %d times: %s",
				a.ID, a.Path, a.Router, a.Sent.Format("05.000"), a.Status, runs[a.ID], what))
		}
	}
	return broken
}

// judge tells what an attempt shows against the promises.
func (h *history) judge(a standin.Attempt, ran int) []string {
	var broken []string
	check := func(ok bool, what string) {
		if !ok {
			broken = append(broken, what)
		}
	}
	check(a.Wrong == "", a.Wrong)
	check(ran <= 1 || a.Path == "/keyed/x", "it may run only once")
	switch a.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		check(ran == 0, "told that it did not run")
	case http.StatusUnauthorized:
		check(a.Key == guestKey && !h.revoked.IsZero(), "its key counts")
	case http.StatusForbidden, http.StatusNotFound:
		check(false, "its route is there")
	default:
	}
	if a.Key == guestKey && !h.revoked.IsZero() && a.Sent.Sub(h.revoked) > 5*time.Second {
		check(ran == 0, "its key was withdrawn")
	}
	for _, stop := range h.stops[a.Router] {
		asked := a.Sent.After(stop.from.Add(-time.Second)) && a.Sent.Before(stop.from.Add(2*time.Second))
		check(!asked || a.Status != 0 || a.Refused || h.faulty(a), "cut by a graceful stop")
	}
	return broken
}

// faulty reports whether a fault may have cut an attempt.
func (h *history) faulty(a standin.Attempt) bool {
	for _, f := range h.faults {
		if f.overlaps(a.Sent, a.Ended) {
			return true
		}
	}
	return false
}
