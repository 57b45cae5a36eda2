package dispatch

import (
	"time"

	"laburnumfall/internal/fleet"
)

// instancesOf returns the targets of a configuration as they are listed.
func instancesOf(targets []fleet.Target) []fleet.Instance {
	list := make([]fleet.Instance, 0, len(targets))
	for _, target := range targets {
		list = append(list, target.Instance())
	}
	return list
}

// refreshSignals applies the signals of targets if they have changed since they were last applied.
func (s *Scheduler) refreshSignals() {
	if s.Backpressure.Revision() != s.signalRevision {
		s.applySignals()
	}
}

func (s *Scheduler) applySignals() {
	s.signalRevision = s.Backpressure.Revision()
	for _, target := range s.targets {
		target.signals = s.Backpressure.Status(target.Instance())
	}
}

// canSend reports whether the target can get one more request now.
func (s *targetState) canSend(now time.Time) bool {
	return s.hasFreeSlot() && s.breaker.allows(now, s.busy) && !s.signals.Blocked(now)
}

// isLeaving reports whether the target is leaving, by the list of VMs or by its own responses.
func (s *targetState) isLeaving(now time.Time) bool {
	return s.leaving || s.signals.Leaving(now)
}

// hasLiveTarget reports whether any target of the event may take work, now or later.
func (e *eventState) hasLiveTarget(now time.Time) bool {
	for _, target := range e.targets {
		if !target.isLeaving(now) {
			return true
		}
	}
	return false
}

// unavailableRefusal returns the refusal of a request for an event none of whose targets takes requests
// now, and nil if some target does. A target takes none that is leaving, that backs off, or whose
// circuit breaker is open while it has no request in progress, which might succeed.
func (e *eventState) unavailableRefusal(now time.Time) *Refuse {
	var earliest time.Time // when the first target takes requests again
	message := "all targets of event %q fail"
	for _, target := range e.targets {
		if target.isLeaving(now) {
			continue
		}
		var until time.Time
		if target.breaker.isOpen(now) && target.busy == 0 {
			until = target.breaker.openUntil
		}
		if end := target.signals.BackoffEnd; now.Before(end) {
			message = "the targets of event %q asked for a pause"
			if end.After(until) {
				until = end
			}
		}
		if until.IsZero() {
			return nil
		}
		if earliest.IsZero() || until.Before(earliest) {
			earliest = until
		}
	}
	if earliest.IsZero() { // all are leaving
		earliest = now.Add(minRetryAfter)
	}
	return newNotRunRefusal(earliest, fleet.KindNoTarget, "come back after Retry-After", message, e.Name)
}

// refuseUnavailable refuses the requests that wait for an event none of whose targets takes requests.
// To keep them waiting would hide that from the clients.
func (s *Scheduler) refuseUnavailable(now time.Time) {
	if s.queues.WaitingCount() == 0 {
		return
	}
	for _, event := range s.events {
		unavailable := event.unavailableRefusal(now)
		if unavailable == nil {
			continue
		}
		for _, id := range s.queues.WaitingIDs() {
			if req := s.requests[id]; req.Event == event.Name {
				refusal := *unavailable
				s.refuse(req, &refusal)
			}
		}
	}
}
