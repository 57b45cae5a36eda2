package placement

import (
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/warmup"
)

// restartMargin extends the cold period of a target after a failed connection. The target may be
// restarting, and the list of targets shows that late.
const restartMargin = 3 * time.Second

// SetEvacuated replaces the set of evacuated zones. It takes effect with the next SetTargets.
func (p *Placer) SetEvacuated(zones fleet.EvacuatedZones) {
	p.evacuatedZones = zones
}

// SetColdUntil sets the end of the cold period of targets, including targets that a later
// SetTargets adds. It never shortens a cold period.
func (p *Placer) SetColdUntil(until map[fleet.Incarnation]time.Time) {
	p.coldUntil = until
	for target, end := range until {
		if s := p.states[target]; s != nil {
			s.markColdUntil(end)
		}
	}
}

// markAdded starts the cold period of a target that is new, or whose zone is no longer evacuated:
// it may have just started. Targets of the first list are not considered new.
func (p *Placer) markAdded(now time.Time, s *state) {
	if len(p.states) > 0 {
		s.markColdUntil(now.Add(p.coldLimits[s.Pool].Duration))
	}
	s.markColdUntil(p.coldUntil[s.Incarnation])
}

// markColdUntil extends the cold period of a target; an earlier end is ignored.
func (s *state) markColdUntil(end time.Time) {
	if end.After(s.coldUntil) {
		s.coldUntil, s.maybeCold = end, true
	}
}

// accepts reports whether a target accepts new work.
func (s *state) accepts() bool {
	return !s.Leaving && !s.evacuated && !s.saidLeaving
}

// isCold reports whether a target is in its cold period and its pool limits cold targets.
func (p *Placer) isCold(now time.Time, s *state) bool {
	if !s.maybeCold {
		return false // fast path: true of nearly all targets in every choice
	}
	s.maybeCold = s.coldUntil.After(now)
	return s.maybeCold && p.coldLimits[s.Pool].Enabled()
}

// canSend reports whether this router may send a target one more request: the target accepts
// work and does not back off, and if it is cold, this router's allowance is not used up.
func (p *Placer) canSend(now time.Time, s *state) bool {
	return s.accepts() && !s.backingOff() && (!p.isCold(now, s) || s.sendMeter.Allows(now, p.Warmup.Allowance(now, s.hash, p.coldLimits[s.Pool])))
}

// ConfirmSend is called right before a request is sent to the chosen target. It reports false if
// the target no longer takes the request, which must then not be sent.
func (p *Placer) ConfirmSend(now time.Time, c *Choice) bool {
	s := c.state
	switch {
	case !s.accepts(), s.Version != c.Target.Version, p.Backpressure.Status(c.Target).Blocked(now):
		return false
	case !p.isCold(now, s):
		return true
	case !c.metered:
		return false
	}
	s.sendMeter.RecordDelayedSend(now)
	return p.Warmup.Allowance(now, s.hash, p.coldLimits[s.Pool]) > 0
}

// UnavailableReason reports why no target of a pool takes work: all are evacuated, or the
// remaining ones are warming up and have reached their rate limit.
func (p *Placer) UnavailableReason(now time.Time, pool string) (evacuated, warming bool) {
	for _, s := range p.byPool[pool] {
		evacuated = evacuated || s.evacuated
		warming = warming || s.accepts() && !s.backingOff() && p.isCold(now, s)
	}
	return evacuated && !warming, warming
}

// setColdLimits computes the rate limit of cold targets in each pool.
func (p *Placer) setColdLimits(pools map[string]fleet.Pool) {
	p.coldLimits = make(map[string]warmup.RateLimit, len(pools))
	for name, pool := range pools {
		p.coldLimits[name] = p.Warmup.RateLimit(pool.WarmupTime, pool.WarmupRate)
	}
}
