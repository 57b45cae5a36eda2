package dispatch

import (
	"time"

	"laburnumfall/internal/fairshare"
	"laburnumfall/internal/fleet"
)

// admit queues a request, or returns its refusal.
func (s *Scheduler) admit(now time.Time, req *pendingRequest) *Refuse {
	if s.stopping {
		return newNotRunRefusal(now.Add(minRetryAfter), fleet.KindStopping, "ask another router", "this router is stopping")
	}
	if !s.HasLease(now) {
		return s.noLeaseRefusal(now)
	}
	event := s.events[req.Event]
	if refusal := s.checkEvent(now, event, req); refusal != nil {
		return refusal
	}
	wait := s.queues.ExpectedWait(now, req.Account)
	if !req.Deadline.IsZero() && now.Add(wait).After(req.Deadline) {
		return newNotRunRefusal(now.Add(wait), fleet.KindDeadline, "allow more time, or come back after Retry-After",
			"the deadline passes before the account's queue has drained")
	}
	req.item = &fairshare.Item{
		ID: req.ID, Account: req.Account, Event: req.Event, CostHint: req.CostHint, BodyBytes: req.BodyBytes,
		ServeBy: fairshare.ServeByTime(now, req.Deadline),
	}
	if err := s.queues.Push(req.item); err != nil {
		return newNotRunRefusal(now.Add(max(wait, minRetryAfter)), fleet.KindQueueFull, "come back after Retry-After", "%v", err)
	}
	return nil
}

// minRetryAfter is the shortest time after which a refused client is asked to retry.
const minRetryAfter = time.Second

// checkEvent returns the refusal of a request whose event does not exist, does not admit it, or cannot
// serve it now. Otherwise it returns nil.
func (s *Scheduler) checkEvent(now time.Time, event *eventState, req *pendingRequest) *Refuse {
	switch {
	case event == nil:
		return newNotRunRefusal(time.Time{}, fleet.KindEventUnavailable, "name an event of the configuration in force", "there is no event %q", req.Event)
	case !event.Admits(req.Account):
		return newNotRunRefusal(time.Time{}, fleet.KindAccountNotAdmitted, "have the account added to the event", "account %q is not in event %q", req.Account, req.Event)
	case !event.End.IsZero() && !now.Before(event.End):
		return newNotRunRefusal(time.Time{}, fleet.KindEventUnavailable, "name an event that is open", "event %q has ended", req.Event)
	case !event.Open(now):
		return newNotRunRefusal(event.Start, fleet.KindNoTarget, "come back when the event starts", "event %q starts at %s", req.Event, event.Start)
	case !event.hasLiveTarget(now):
		return newNotRunRefusal(now.Add(minRetryAfter), fleet.KindNoTarget, "have a live target added to the event", "event %q has no live target", req.Event)
	}
	return event.unavailableRefusal(now)
}

func (s *Scheduler) noLeaseRefusal(now time.Time) *Refuse {
	return newNotRunRefusal(now.Add(minRetryAfter), fleet.KindNoLease, "ask another router, or come back after Retry-After",
		"this router has no lease from the keepers")
}

// newNotRunRefusal returns a refusal which guarantees that no target ran the request.
func newNotRunRefusal(retryAt time.Time, kind fleet.ErrorKind, remedy, format string, args ...any) *Refuse {
	return &Refuse{Err: fleet.NewError(kind, remedy, format, args...), Outcome: fleet.OutcomeNotRun, RetryAt: retryAt}
}
