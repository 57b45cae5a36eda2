package admission

import (
	"time"

	"laburnumfall/internal/quota"
)

// retryDivisor sets the longest Retry-After for accounts over their share: the route's latency
// objective divided by it.
const retryDivisor = 4

// LatencyAwareRetry lets a caller retry once its account has credit again, but early enough that
// the answer can still meet its latency objective, since engines may have capacity long before. A
// caller that waits as long as its latency objective is always late.
type LatencyAwareRetry struct{}

var _ RetryPolicy = LatencyAwareRetry{}

// RetryAfter implements RetryPolicy.
func (LatencyAwareRetry) RetryAfter(now time.Time, shares *quota.Shares, r Request) time.Duration {
	return max(min(shares.RefillTime(now, r.Account), r.Route.LatencyObjective/retryDivisor), MinRetryAfter)
}
