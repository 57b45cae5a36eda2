package placement

import (
	"time"

	"laburnumfall/internal/fleet"
)

// wait predicts the time to the first byte at a target: how long others hold the
// request up, and how long its own prompt takes to read. Engines admit requests
// in order, so whatever was sent and is not read is ahead; beyond their slots,
// requests wait for others to end.
func (p *Placer) wait(now time.Time, s *state, r Request, n need) (queue, own time.Duration) {
	if len(r.Parts) == 0 {
		return p.serviceWait(now, s), 0
	}
	rate := p.readRate()
	before := (float64(s.pending) + s.elsewhere(now, rate)) / rate
	if over := s.load(now) + 1 - s.Slots; over > 0 && s.Slots > 0 {
		before += float64(over) * p.meanTime(now, s.Pool, assumedStream) / float64(s.Slots)
	}
	return milliseconds(before), milliseconds(float64(n.read) / rate)
}

// serviceWait predicts the time to the answer of a plain service: its own time,
// times the rounds of slots that are taken before.
func (p *Placer) serviceWait(now time.Time, s *state) time.Duration {
	return milliseconds(p.meanTime(now, s.Pool, assumedTime) * s.rounds(now))
}

// QueueTime predicts how long a target takes to begin what waits there, where that
// is a plain service.
func (p *Placer) QueueTime(now time.Time, target fleet.Incarnation, waiting int) time.Duration {
	s := p.states[target]
	if s == nil {
		return 0
	}
	return milliseconds(p.meanTime(now, s.Pool, assumedTime) * float64(waiting) / float64(max(s.Slots, 1)))
}

func (p *Placer) readRate() float64 {
	if p.rate > 0 {
		return p.rate
	}
	return assumedRate
}
