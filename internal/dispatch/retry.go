package dispatch

import "time"

const (
	// maxAttempts is the largest number of attempts of one request.
	maxAttempts = 3
	// retryRatio is the retry budget that each attempt earns. It limits retries to a tenth of the
	// load, whatever fails.
	retryRatio = 0.1
	// maxRetryTokens is the largest number of retries that a budget can save up.
	maxRetryTokens = 10
)

type retryBudgetKey struct{ account, event string }

// retryBudget limits the retries of one account for one event.
type retryBudget struct {
	tokens float64
}

func (s *Scheduler) retryBudget(req *pendingRequest) *retryBudget {
	if s.retryBudgets == nil {
		s.retryBudgets = make(map[retryBudgetKey]*retryBudget)
	}
	key := retryBudgetKey{req.Account, req.Event}
	budget := s.retryBudgets[key]
	if budget == nil {
		budget = &retryBudget{tokens: maxRetryTokens}
		s.retryBudgets[key] = budget
	}
	return budget
}

func (b *retryBudget) deposit() {
	b.tokens = min(b.tokens+retryRatio, maxRetryTokens)
}

func (b *retryBudget) withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// mayRetry reports whether a failed request may be retried, and takes a retry from the budget if so.
func (s *Scheduler) mayRetry(now time.Time, req *pendingRequest, result AttemptResult) bool {
	return s.canRetry(now, req, result) && s.retryBudget(req).withdraw()
}

// canRetry reports whether a failed request can be retried: the client has received no byte of a
// response, the request is repeatable or was not run, another target can take it, and the retry budget
// allows it.
func (s *Scheduler) canRetry(now time.Time, req *pendingRequest, result AttemptResult) bool {
	if s.stopping || !s.HasLease(now) || req.attempts >= maxAttempts {
		return false
	}
	if result.mayHaveRun() && req.ClaimKey != "" {
		return false
	}
	if !req.Deadline.IsZero() && !now.Before(req.Deadline) {
		return false
	}
	return s.hasAlternativeTarget(now, req) && s.retryBudget(req).tokens >= 1
}

func (s *Scheduler) hasAlternativeTarget(now time.Time, req *pendingRequest) bool {
	event := s.events[req.Event]
	if event == nil {
		return false
	}
	for _, target := range event.targets {
		if target.Name != req.targetName && !target.isLeaving(now) && !target.signals.BackingOff(now) {
			return true
		}
	}
	return false
}
