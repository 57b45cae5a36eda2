package admission

import (
	"time"

	"laburnumfall/internal/quota"
)

// backPart is the part of the aim, as a divisor, within which a caller that was refused
// beyond its account's share may come back.
const backPart = 4

// LatencyAwareRetry lets a caller come back once its account has something saved up again, but early
// enough for an answer that is in time: engines may have room long before. A caller that
// is sent back for as long as its aim is always late.
type LatencyAwareRetry struct{}

var _ RetryPolicy = LatencyAwareRetry{}

// RetryAfter implements RetryPolicy.
func (LatencyAwareRetry) RetryAfter(now time.Time, s *quota.Shares, r Request) time.Duration {
	return max(min(s.RefillTime(now, r.Account), r.Route.Aim/backPart), MinRetryAfter)
}
