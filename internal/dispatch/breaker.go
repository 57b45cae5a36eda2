package dispatch

import (
	"time"

	"laburnumfall/internal/probation"
)

const (
	// openAfterFailures is the number of consecutive failures that opens the breaker.
	openAfterFailures = 3
	// firstOpenPeriod is how long the breaker stays open at first. Each further failure doubles it,
	// up to maxOpenPeriod.
	firstOpenPeriod = time.Second
	maxOpenPeriod   = 30 * time.Second
	// latencyWeight is the weight of the newest sample in the moving average of the latency.
	latencyWeight = 0.1
)

// breaker is the circuit breaker of a target. After its open period it is half open: the target is
// on probation and admits a limited number of requests.
type breaker struct {
	failures    int
	openUntil   time.Time
	probation   probation.Limit
	meanLatency time.Duration
}

// recoveredLimit is the concurrency limit at which a target on probation counts as recovered.
const recoveredLimit = 64

func (b *breaker) allows(now time.Time, busy int) bool {
	return !b.isOpen(now) && b.probation.Allows(busy)
}

// isOpen reports whether the breaker admits no requests.
func (b *breaker) isOpen(now time.Time) bool {
	return b.failures >= openAfterFailures && now.Before(b.openUntil)
}

// probing reports whether the target has failed repeatedly and has not recovered yet.
func (b *breaker) probing() bool {
	return b.failures >= openAfterFailures || b.probation.Active()
}

// requestStarted records that a request is about to be sent to the target. The first one after the
// open period starts the probation.
func (b *breaker) requestStarted(now time.Time) {
	if b.failures >= openAfterFailures && !now.Before(b.openUntil) {
		b.startProbation()
	}
}

func (b *breaker) startProbation() {
	b.probation.TrustedConcurrency = recoveredLimit
	b.probation.Begin()
}

func (b *breaker) requestEnded(now time.Time, result AttemptResult) {
	switch {
	case result.Failed:
		b.recordFailure(now)
	case result.ResponseComplete:
		b.recordSuccess(result.TimeToFirstByte)
	}
}

func (b *breaker) recordFailure(now time.Time) {
	b.failures++
	if b.failures < openAfterFailures {
		return
	}
	openPeriod := firstOpenPeriod << min(b.failures-openAfterFailures, 5)
	b.openUntil = now.Add(min(openPeriod, maxOpenPeriod))
	b.startProbation()
}

func (b *breaker) recordSuccess(timeToFirstByte time.Duration) {
	b.failures = 0
	b.meanLatency += time.Duration(latencyWeight * float64(timeToFirstByte-b.meanLatency))
	b.probation.RecordSuccess()
}

// latency returns the exponential moving average of the target's time to first byte.
func (b *breaker) latency() time.Duration {
	return b.meanLatency
}
