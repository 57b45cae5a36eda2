package warmup

import "time"

// usableFraction is the part of a cold target's rate limit that all leases together use. The rest
// is for requests that are delayed on their way, so that requests of two windows of one lease
// arrive within one second.
const usableFraction = 0.92

// maxAllowance bounds the requests that one router may send to a cold target per window.
const maxAllowance = 64

// A RateLimit bounds the requests that a cold target gets from all routers together: at most
// PerSecond in any second, for Duration after its start. The zero value is for pools whose
// targets are never cold.
type RateLimit struct {
	Duration  time.Duration
	PerSecond float64
}

// Enabled reports whether targets of the pool are ever cold.
func (l RateLimit) Enabled() bool {
	return l.Duration > 0 && l.PerSecond > 0
}

// A Budget is a router's part of the requests that cold targets may get. Set the exported fields,
// then call its methods. Without a lease the budget is empty.
type Budget struct {
	// Ratio and Slack set the rate limit of a cold target: the configured rate of its pool
	// multiplied by Ratio, plus Slack.
	Ratio float64
	Slack float64

	lease      Lease
	leaseUntil time.Time
}

// RateLimit returns the limit for a pool whose targets are cold for a time after their start and
// then take the given number of requests per second.
func (b *Budget) RateLimit(coldFor time.Duration, rate float64) RateLimit {
	if coldFor <= 0 || rate <= 0 {
		return RateLimit{}
	}
	return RateLimit{Duration: coldFor, PerSecond: rate*b.Ratio + b.Slack}
}

// SetLease replaces the lease. It expires leaseDuration after the router requested it.
func (b *Budget) SetLease(requestedAt time.Time, lease Lease) {
	b.lease, b.leaseUntil = lease, requestedAt.Add(leaseDuration)
}

// CurrentLease returns the lease if it has not expired. The router reports it to the leader.
func (b *Budget) CurrentLease(now time.Time) Lease {
	if !now.Before(b.leaseUntil) {
		return Lease{}
	}
	return b.lease
}

// Allowance returns how many requests this router may send to a cold target per window. A
// remainder of the division among leases goes to leases that differ from target to target.
func (b *Budget) Allowance(now time.Time, target uint64, limit RateLimit) int {
	lease := b.CurrentLease(now)
	if !lease.Ready || lease.Total <= 0 {
		return 0
	}
	total := int(usableFraction * limit.PerSecond)
	allowance := total / lease.Total
	rank := (uint64(lease.Number) + target) % uint64(lease.Total)
	if rank < uint64(total%lease.Total) {
		allowance++
	}
	return min(allowance, maxAllowance)
}

// A Meter counts the requests that this router has sent to one cold target. The zero value is
// empty.
type Meter struct {
	sent []time.Time // ring buffer
	next int
}

// Allows reports whether one more request is within the allowance.
func (m *Meter) Allows(now time.Time, allowance int) bool {
	if m.sent == nil || allowance <= 0 {
		return allowance > 0
	}
	return now.Sub(m.sent[m.indexBefore(allowance)]) >= window
}

// indexBefore returns the ring index of the n-th latest request.
func (m *Meter) indexBefore(n int) int {
	return (m.next + maxAllowance - n) % maxAllowance
}

// RecordSend records that a request is sent.
func (m *Meter) RecordSend(now time.Time) {
	if m.sent == nil {
		m.sent = make([]time.Time, maxAllowance)
	}
	m.sent[m.next] = now
	m.next = (m.next + 1) % maxAllowance
}

// RecordDelayedSend moves the latest request to a later time, if it was sent later than planned.
func (m *Meter) RecordDelayedSend(now time.Time) {
	if m.sent == nil {
		return
	}
	m.sent[m.indexBefore(1)] = now
}
