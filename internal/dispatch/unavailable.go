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

// unavailability says whether and why no target of an event takes requests.
type unavailability struct {
	unavailable bool
	backingOff  bool      // some target takes no requests because it backs off
	until       time.Time // when the first target takes requests again
}

// unavailability reports whether each target of an event that is not leaving backs off, or has an open
// circuit breaker and no request in progress, which might succeed.
func (s *Scheduler) unavailability(now time.Time, event *eventState) unavailability {
	result := unavailability{unavailable: true}
	for _, target := range event.targets {
		if s.isLeaving(now, target) {
			continue
		}
		var until time.Time
		if target.breaker.isOpen(now) && target.busy == 0 {
			until = target.breaker.openUntil
		}
		if end := s.Backpressure.Status(target.Instance()).BackoffEnd; now.Before(end) {
			result.backingOff = true
			if end.After(until) {
				until = end
			}
		}
		if until.IsZero() {
			return unavailability{}
		}
		if result.until.IsZero() || until.Before(result.until) {
			result.until = until
		}
	}
	if result.until.IsZero() { // all are leaving
		result.until = now.Add(minRetryAfter)
	}
	return result
}

// refusal returns the refusal of a request for the event.
func (u unavailability) refusal(eventName string) *Refuse {
	if u.backingOff {
		return newNotRunRefusal(u.until, fleet.KindNoTarget, "come back after Retry-After", "the targets of event %q asked for a pause", eventName)
	}
	return newNotRunRefusal(u.until, fleet.KindNoTarget, "come back after Retry-After", "all targets of event %q fail", eventName)
}

// refuseUnavailable refuses the requests that wait for an event none of whose targets takes requests.
// To keep them waiting would hide that from the clients.
func (s *Scheduler) refuseUnavailable(now time.Time) {
	if s.queues.WaitingCount() == 0 {
		return
	}
	for _, event := range s.events {
		unavailability := s.unavailability(now, event)
		if !unavailability.unavailable {
			continue
		}
		for _, id := range s.queues.WaitingIDs() {
			if req := s.requests[id]; req.Event == event.Name {
				s.refuse(req, unavailability.refusal(event.Name))
			}
		}
	}
}
