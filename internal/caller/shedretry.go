package caller

import "time"

const (
	// minShedRetryAfter is the earliest time for a shed caller to retry. It is short because the
	// router usually has capacity again by then.
	minShedRetryAfter = 20 * time.Millisecond
	// maxShedRetryAfter is the latest time for a shed caller to retry: as long as callers wait for
	// their request to be read.
	maxShedRetryAfter = time.Second
	// freshWaitWindow is the number of connections over which the time that they are fresh is
	// averaged.
	freshWaitWindow = 16
)

// A retrySchedule spreads the retries of shed callers over time, one for each place that becomes
// free among the fresh connections. If all of them retried at once, most would be shed again, and a
// router that most of an account's callers reach would spend its processor time on refusals, so that
// it reads fewer requests and the account gets less service than others.
type retrySchedule struct {
	freshWait time.Duration // moving average of how long connections were fresh
	nextAt    time.Time     // earliest time for the next shed caller to retry
}

// recordRead records how long a connection was fresh until its first request was read and checked.
func (s *retrySchedule) recordRead(wait time.Duration) {
	wait = min(wait, maxShedRetryAfter) // it may include a suspension of the process
	s.freshWait += (wait - s.freshWait) / freshWaitWindow
}

// next returns when the next shed caller may retry. While connections are shed, maxFreshConns of them
// are fresh, so one of the places becomes free per maxFreshConns-th part of the time that a connection
// is fresh.
func (s *retrySchedule) next(now time.Time) time.Duration {
	at := s.nextAt
	if earliest := now.Add(minShedRetryAfter); at.Before(earliest) {
		at = earliest
	}
	if latest := now.Add(maxShedRetryAfter); at.After(latest) {
		at = latest
	}
	s.nextAt = at.Add(s.freshWait / maxFreshConns)
	return at.Sub(now)
}
