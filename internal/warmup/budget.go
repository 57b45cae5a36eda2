package warmup

import "time"

// share is the part of a cold target's bound that all seats together use. The rest is for
// requests that are held up on their way, so that two of one seat arrive in one second.
const share = 0.92

// mostPart bounds what one router sends to a cold target in a window.
const mostPart = 64

// A Bound is what cold targets of a pool get from all routers: at most Most requests in any
// second for For after their start. The zero value is that of targets that are never cold.
type Bound struct {
	For  time.Duration
	Most float64
}

// Cold reports whether targets of the pool are ever cold.
func (b Bound) Cold() bool {
	return b.For > 0 && b.Most > 0
}

// A Budget is a router's part of what cold targets may get. Set the exported fields, then
// call its methods; without a lease it is none.
type Budget struct {
	// Ratio and Slack bound what a cold target gets in any second: its pool's rate times
	// the ratio, plus the slack.
	Ratio float64
	Slack float64

	seat  Seat
	until time.Time
}

// Bound returns the bound of a pool whose targets are cold for a time and take a rate of
// requests a second meanwhile.
func (b *Budget) Bound(cold time.Duration, rate float64) Bound {
	if cold <= 0 || rate <= 0 {
		return Bound{}
	}
	return Bound{For: cold, Most: rate*b.Ratio + b.Slack}
}

// Lease takes a seat that holds until a moment after the router asked for it.
func (b *Budget) Lease(asked time.Time, s Seat) {
	b.seat, b.until = s, asked.Add(lease)
}

// Seat returns the seat that is held, to be told to the leader.
func (b *Budget) Seat(now time.Time) Seat {
	if !now.Before(b.until) {
		return Seat{}
	}
	return b.seat
}

// Part returns how many requests this router may send to a cold target in a window. What
// does not divide evenly goes to seats that differ from target to target.
func (b *Budget) Part(now time.Time, target uint64, bound Bound) int {
	s := b.Seat(now)
	if !s.Ready || s.Of <= 0 {
		return 0
	}
	all := int(share * bound.Most)
	part := all / s.Of
	turn := (uint64(s.Number) + target) % uint64(s.Of)
	if turn < uint64(all%s.Of) {
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

// Send notes that a request is sent.
func (m *Meter) Send(now time.Time) {
	if m.sent == nil {
		m.sent = make([]time.Time, mostPart)
	}
	m.sent[m.next] = now
	m.next = (m.next + 1) % mostPart
}

// Delay notes that the last request left later than it was meant to.
func (m *Meter) Delay(now time.Time) {
	if m.sent == nil {
		return
	}
	m.sent[m.back(1)] = now
}
