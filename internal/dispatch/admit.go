package dispatch

import (
	"time"

	"laburnumfall/internal/fairshare"
	"laburnumfall/internal/fleet"
)

// admit lets a request wait, or returns its refusal.
func (s *Scheduler) admit(now time.Time, p *pending) *Refuse {
	if s.stopping {
		return unrun(now.Add(retrySoon), fleet.KindStopping, "ask another router", "this router is stopping")
	}
	if !s.HasLease(now) {
		return s.noLease(now)
	}
	e := s.events[p.Event]
	if refusal := s.checkEvent(now, e, p); refusal != nil {
		return refusal
	}
	wait := s.queues.Wait(now, p.Account)
	if !p.Deadline.IsZero() && now.Add(wait).After(p.Deadline) {
		return unrun(now.Add(wait), fleet.KindDeadline, "allow more time, or come back after Retry-After",
			"the deadline passes before the account's queue has drained")
	}
	p.item = &fairshare.Item{
		ID: p.ID, Account: p.Account, Event: p.Event, Hint: p.CostHint, Size: p.BodyBytes,
		Order: fairshare.OrderOf(now, p.Deadline),
	}
	if err := s.queues.Push(p.item); err != nil {
		return unrun(now.Add(max(wait, retrySoon)), fleet.KindQueueFull, "come back after Retry-After", "%v", err)
	}
	return nil
}

// retrySoon is the shortest time after which a refused caller is asked back.
const retrySoon = time.Second

func (s *Scheduler) checkEvent(now time.Time, e *event, p *pending) *Refuse {
	switch {
	case e == nil:
		return unrun(time.Time{}, fleet.KindEventUnavailable, "name an event of the configuration in force", "there is no event %q", p.Event)
	case !e.Admits(p.Account):
		return unrun(time.Time{}, fleet.KindAccountNotAdmitted, "have the account added to the event", "account %q is not in event %q", p.Account, p.Event)
	case !e.End.IsZero() && !now.Before(e.End):
		return unrun(time.Time{}, fleet.KindEventUnavailable, "name an event that is open", "event %q has ended", p.Event)
	case !e.Open(now):
		return unrun(e.Start, fleet.KindNoTarget, "come back when the event starts", "event %q starts at %s", p.Event, e.Start)
	case !e.served():
		return unrun(now.Add(retrySoon), fleet.KindNoTarget, "have a live target added to the event", "event %q has no live target", p.Event)
	}
	if until, broken := e.brokenUntil(now); broken {
		return allFailing(e.Name, until)
	}
	return nil
}

func allFailing(event string, until time.Time) *Refuse {
	return unrun(until, fleet.KindNoTarget, "come back after Retry-After", "all targets of event %q fail", event)
}

// brokenUntil reports whether every target of the event is kept from work
// after failures, and when the first is tried again.
func (e *event) brokenUntil(now time.Time) (time.Time, bool) {
	var first time.Time
	for _, t := range e.targets {
		if t.breaker.failures < breakAfter || !now.Before(t.breaker.until) || t.use > 0 {
			return time.Time{}, false
		}
		if first.IsZero() || t.breaker.until.Before(first) {
			first = t.breaker.until
		}
	}
	return first, true
}

// served reports whether any target of the event may take work.
func (e *event) served() bool {
	for _, t := range e.targets {
		if !t.gone {
			return true
		}
	}
	return false
}

func (s *Scheduler) noLease(now time.Time) *Refuse {
	return unrun(now.Add(retrySoon), fleet.KindNoLease, "ask another router, or come back after Retry-After",
		"this router has no lease from the keepers")
}

func unrun(retryAt time.Time, kind fleet.ErrorKind, remedy, format string, args ...any) *Refuse {
	return &Refuse{Err: fleet.NewError(kind, remedy, format, args...), Outcome: fleet.OutcomeNotRun, RetryAt: retryAt}
}
