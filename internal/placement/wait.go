package placement

import (
	"time"

	"laburnumfall/internal/fleet"
)

// predictWait predicts how long other requests delay a request at a target, and how long its own
// prefill takes. Engines admit requests in order, so prompt tokens that are not yet prefilled
// come first. If all slots are taken, the request also waits for others to end.
func (p *Placer) predictWait(now time.Time, s *state, r Request, plan prefillPlan) (queueTime, prefillTime time.Duration) {
	if len(r.Parts) == 0 {
		return p.serviceWait(now, s), 0
	}
	if s.poolPace != nil {
		return p.pacedWait(now, s, plan)
	}
	rate := p.prefillRate()
	queuedMs := (float64(s.pendingTokens)+s.remoteTokens(now, rate))/rate + p.slotWait(now, s)
	return milliseconds(queuedMs), milliseconds(float64(plan.prefillTokens) / rate)
}

// slotWait predicts how long a request waits for a slot of an engine, in milliseconds.
func (p *Placer) slotWait(now time.Time, s *state) float64 {
	overSlots := s.runningTotal(now) + 1 - s.Slots
	if overSlots <= 0 || s.Slots <= 0 {
		return 0
	}
	return float64(overSlots) * p.meanServiceTime(now, s.Pool, assumedStreamTime) / float64(s.Slots)
}

// serviceWait predicts the response time of a plain service: its service time multiplied by the
// rounds of slots needed.
func (p *Placer) serviceWait(now time.Time, s *state) time.Duration {
	wait := milliseconds(p.meanServiceTime(now, s.Pool, assumedServiceTime) * s.slotRounds(now))
	if s.poolPace != nil {
		wait = time.Duration(float64(wait) * s.pace.Over(now, wait))
	}
	return wait
}

// QueueTime predicts how long it takes until a plain service has begun the given number of
// waiting requests. It returns 0 for an unknown target.
func (p *Placer) QueueTime(now time.Time, target fleet.Incarnation, waiting int) time.Duration {
	s := p.states[target]
	if s == nil {
		return 0
	}
	return milliseconds(p.meanServiceTime(now, s.Pool, assumedServiceTime) * float64(waiting) / float64(max(s.Slots, 1)))
}

func (p *Placer) prefillRate() float64 {
	if p.learnedPrefillRate > 0 {
		return p.learnedPrefillRate
	}
	return assumedPrefillRate
}
