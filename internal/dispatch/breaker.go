package dispatch

import (
	"time"

	"laburnumfall/internal/probation"
)

const (
	// breakAfter failures in a row keep new work from a target.
	breakAfter = 3
	// breakFirst is the first pause; each further failure doubles it.
	breakFirst = time.Second
	breakLast  = 30 * time.Second
	paceGain   = 0.1
)

// breaker keeps work from a target that fails. After a pause it is on probation.
type breaker struct {
	failures int
	until    time.Time
	limit    probation.Limit
	mean     time.Duration
}

// trusted is the limit at which a target counts as healthy again.
const trusted = 64

func (b *breaker) allows(now time.Time, use int) bool {
	if b.failures >= breakAfter && now.Before(b.until) {
		return false
	}
	return b.limit.Allows(use)
}

func (b *breaker) probing() bool {
	return b.failures >= breakAfter || b.limit.Active()
}

// start is told that a request goes to the target.
func (b *breaker) start(now time.Time) {
	if b.failures >= breakAfter && !now.Before(b.until) {
		b.begin()
	}
}

func (b *breaker) begin() {
	b.limit.TrustedConcurrency = trusted
	b.limit.Begin()
}

func (b *breaker) end(now time.Time, e AttemptResult) {
	switch {
	case e.Failed:
		b.fail(now)
	case e.ResponseComplete:
		b.succeed(e.TimeToFirstByte)
	}
}

func (b *breaker) fail(now time.Time) {
	b.failures++
	if b.failures < breakAfter {
		return
	}
	pause := breakFirst << min(b.failures-breakAfter, 5)
	b.until = now.Add(min(pause, breakLast))
	b.begin()
}

func (b *breaker) succeed(first time.Duration) {
	b.failures = 0
	b.mean += time.Duration(paceGain * float64(first-b.mean))
	b.limit.RecordSuccess()
}

// pace is the target's mean time to the first byte.
func (b *breaker) pace() time.Duration {
	return b.mean
}
