package warmup

import "time"

// share is the part of a cold target's bound that all seats together use. The rest is for
// requests that are held up on their way, so that two of one seat arrive in one second.
const share = 0.92

// mostPart bounds what one router sends to a cold target in a window.
const mostPart = 64

// A RateLimit is what cold targets of a pool get from all routers: at most PerSecond requests in any
// second for Duration after their start. The zero value is that of targets that are never cold.
type RateLimit struct {
	Duration  time.Duration
	PerSecond float64
}

// Enabled reports whether targets of the pool are ever cold.
func (b RateLimit) Enabled() bool {
	return b.Duration > 0 && b.PerSecond > 0
}

// A Budget is a router's part of what cold targets may get. Set the exported fields, then
// call its methods; without a lease it is none.
type Budget struct {
	// Ratio and Slack bound what a cold target gets in any second: its pool's rate times
	// the ratio, plus the slack.
	Ratio float64
	Slack float64

	seat  Lease
	until time.Time
}

// RateLimit returns the bound of a pool whose targets are cold for a time and take a rate of
// requests a second meanwhile.
func (b *Budget) RateLimit(cold time.Duration, rate float64) RateLimit {
	if cold <= 0 || rate <= 0 {
		return RateLimit{}
	}
	return RateLimit{Duration: cold, PerSecond: rate*b.Ratio + b.Slack}
}

// SetLease takes a seat that holds until a moment after the router asked for it.
func (b *Budget) SetLease(asked time.Time, s Lease) {
	b.seat, b.until = s, asked.Add(lease)
}

// CurrentLease returns the seat that is held, to be told to the leader.
func (b *Budget) CurrentLease(now time.Time) Lease {
	if !now.Before(b.until) {
		return Lease{}
	}
	return b.seat
}

// Allowance returns how many requests this router may send to a cold target in a window. What
// does not divide evenly goes to seats that differ from target to target.
func (b *Budget) Allowance(now time.Time, target uint64, bound RateLimit) int {
	s := b.CurrentLease(now)
	if !s.Ready || s.Total <= 0 {
		return 0
	}
	all := int(share * bound.PerSecond)
	part := all / s.Total
	turn := (uint64(s.Number) + target) % uint64(s.Total)
	if turn < uint64(all%s.Total) {
		part++
	}
	return min(part, mostPart)
}

// A Meter counts what this router has sent to one cold target. Its zero value is empty.
type Meter struct {
	sent []time.Time // a ring
	next int
}

// Allows reports whether one more request fits into a part.
func (m *Meter) Allows(now time.Time, part int) bool {
	if m.sent == nil || part <= 0 {
		return part > 0
	}
	return now.Sub(m.sent[m.back(part)]) >= window
}

// back returns the place of the request so many before the next one.
func (m *Meter) back(n int) int {
	return (m.next + mostPart - n) % mostPart
}

// RecordSend notes that a request is sent.
func (m *Meter) RecordSend(now time.Time) {
	if m.sent == nil {
		m.sent = make([]time.Time, mostPart)
	}
	m.sent[m.next] = now
	m.next = (m.next + 1) % mostPart
}

// RecordDelayedSend notes that the last request left later than it was meant to.
func (m *Meter) RecordDelayedSend(now time.Time) {
	if m.sent == nil {
		return
	}
	m.sent[m.back(1)] = now
}
