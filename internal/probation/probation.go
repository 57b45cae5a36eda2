// Package probation increases the load of a target step by step after it has failed.
//
// A target's failure rate decays while it gets no requests, until it looks as good as any other.
// It would then get its full load until the first new answers arrive, and if it hangs, all those
// requests hang with it. So it gets one request at first, and the concurrency limit doubles with
// each request that it serves.
package probation

// A Limit bounds the concurrent requests at a target on probation. Set TrustedConcurrency, then
// call its methods.
type Limit struct {
	// TrustedConcurrency is the concurrency limit at which probation ends.
	TrustedConcurrency int

	maxConcurrent int // 0 if the target is not on probation
}

// Allows reports whether one more request may be sent while the given number is running.
func (l *Limit) Allows(running int) bool {
	return l.maxConcurrent == 0 || running < l.maxConcurrent
}

// Begin starts the probation, or restarts it, with a limit of one request.
func (l *Limit) Begin() {
	l.maxConcurrent = 1
}

// Active reports whether the target is on probation.
func (l *Limit) Active() bool {
	return l.maxConcurrent > 0
}

// RecordSuccess doubles the limit after a request that the target served.
func (l *Limit) RecordSuccess() {
	l.maxConcurrent *= 2
	if l.maxConcurrent >= l.TrustedConcurrency {
		l.maxConcurrent = 0
	}
}
