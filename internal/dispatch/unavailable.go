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

// canSend reports whether a target can get one more request now.
func (s *Scheduler) canSend(now time.Time, target *targetState) bool {
	return target.hasFreeSlot() && target.breaker.allows(now, target.busy) && !s.isLeaving(now, target) && !s.isBackingOff(now, target)
}

// isLeaving reports whether a target is leaving, by the list of VMs or by its own responses.
func (s *Scheduler) isLeaving(now time.Time, target *targetState) bool {
	return target.leaving || s.Backpressure.Status(target.Instance()).Leaving(now)
}

// isBackingOff reports whether a target wants no requests for now.
func (s *Scheduler) isBackingOff(now time.Time, target *targetState) bool {
	return s.Backpressure.Status(target.Instance()).BackingOff(now)
}

// hasLiveTarget reports whether any target of the event may take work, now or later.
func (s *Scheduler) hasLiveTarget(now time.Time, event *eventState) bool {
	for _, target := range event.targets {
		if !s.isLeaving(now, target) {
			return true
		}
	}
	return false
}

// unavailableRefusal returns the refusal of a request for an event none of whose targets takes requests
// now, and nil if some target does. A target takes none that is leaving, that backs off, or whose
// circuit breaker is open while it has no request in progress, which might succeed.
func (s *Scheduler) unavailableRefusal(now time.Time, event *eventState) *Refuse {
	var earliest time.Time // when the first target takes requests again
	message := "all targets of event %q fail"
	for _, target := range event.targets {
		if s.isLeaving(now, target) {
			continue
		}
		var until time.Time
		if target.breaker.isOpen(now) && target.busy == 0 {
			until = target.breaker.openUntil
		}
		if end := s.Backpressure.Status(target.Instance()).BackoffEnd; now.Before(end) {
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
	return newNotRunRefusal(earliest, fleet.KindNoTarget, "come back after Retry-After", message, event.Name)
}

// refuseUnavailable refuses the requests that wait for an event none of whose targets takes requests.
// To keep them waiting would hide that from the clients.
func (s *Scheduler) refuseUnavailable(now time.Time) {
	if s.queues.WaitingCount() == 0 {
		return
	}
	for _, event := range s.events {
		unavailable := s.unavailableRefusal(now, event)
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
