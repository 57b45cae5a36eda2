package dispatch

import "time"

const (
	// maxTries bounds the tries of one request.
	maxTries = 3
	// retryShare is how many retries each request adds to its budget, so that
	// retries add at most a tenth to the load whatever fails.
	retryShare = 0.1
	// retryBurst bounds what a budget may save up.
	retryBurst = 10
)

type budgetKey struct{ account, event string }

// budget bounds the retries of one account for one event.
type budget struct {
	left float64
}

func (s *Scheduler) budget(p *pending) *budget {
	if s.budgets == nil {
		s.budgets = make(map[budgetKey]*budget)
	}
	key := budgetKey{p.Account, p.Event}
	b := s.budgets[key]
	if b == nil {
		b = &budget{left: retryBurst}
		s.budgets[key] = b
	}
	return b
}

func (b *budget) earn() {
	b.left = min(b.left+retryShare, retryBurst)
}

func (b *budget) spend() bool {
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

// mayRetry reports whether a failed request may be tried again: no byte of an
// answer reached the caller, it may be repeated or was certainly not taken,
// another target could take it, and the budget allows it.
func (s *Scheduler) mayRetry(now time.Time, p *pending, e AttemptResult) bool {
	if s.stopping || !s.HasLease(now) || p.tries >= maxTries {
		return false
	}
	if e.Sent && p.ClaimKey != "" {
		return false
	}
	if !p.Deadline.IsZero() && !now.Before(p.Deadline) {
		return false
	}
	return s.hasOther(p) && s.budget(p).spend()
}

func (s *Scheduler) hasOther(p *pending) bool {
	e := s.events[p.Event]
	if e == nil {
		return false
	}
	for _, t := range e.targets {
		if t.Name != p.target && !t.gone {
			return true
		}
	}
	return false
}
