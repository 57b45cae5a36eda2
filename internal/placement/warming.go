package placement

import (
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/warmup"
)

// doubtFor is how long a target counts as cold, beside the time that it is cold after a
// start, once no connection to it could be made: it may be starting again, and the list of
// targets shows that late.
const doubtFor = 3 * time.Second

// SetEvacuated takes which zones are evacuated. It comes in force with the next SetTargets.
func (p *Placer) SetEvacuated(e fleet.Evacuations) {
	p.evacuations = e
}

// SetWarming takes until when targets are cold, also of targets that SetTargets brings
// later. What is known already stays.
func (p *Placer) SetWarming(until map[fleet.Incarnation]time.Time) {
	p.warming = until
	for target, end := range until {
		if s := p.states[target]; s != nil {
			s.coolUntil(end)
		}
	}
}

// come notes that a target came to be used at a moment: that it is new, or that its zone's
// evacuation has ended. It may have started just then, unless it is on the first list.
func (p *Placer) come(now time.Time, s *state) {
	if len(p.states) > 0 {
		s.coolUntil(now.Add(p.bounds[s.Pool].For))
	}
	s.coolUntil(p.warming[s.Incarnation])
}

// coolUntil notes that a target is cold until a moment, if that is later than what is known.
func (s *state) coolUntil(end time.Time) {
	if end.After(s.coldUntil) {
		s.coldUntil, s.mayCold = end, true
	}
}

// takes reports whether a target takes new work.
func (s *state) takes() bool {
	return !s.Leaving && !s.evacuated
}

// cold reports whether a target may be cold.
func (p *Placer) cold(now time.Time, s *state) bool {
	if !s.mayCold {
		return false // which is so for nearly all, in every choice
	}
	s.mayCold = s.coldUntil.After(now)
	return s.mayCold && p.bounds[s.Pool].Cold()
}

// open reports whether a target takes one more request of this router's: it is there, and not cold, or
// this router's part of what it gets leaves room.
func (p *Placer) open(now time.Time, s *state) bool {
	return s.takes() && !p.gone(now, s) && (!p.cold(now, s) || s.meter.Allows(now, p.Warmup.Part(now, s.hash, p.bounds[s.Pool])))
}

// Sent notes that a request leaves for the target of its choice now. It reports false, and
// the request must not be sent, where the target takes it no longer.
func (p *Placer) Sent(now time.Time, c *Choice) bool {
	s := c.state
	switch {
	case s.evacuated:
		return false
	case !p.cold(now, s):
		return true
	case !c.metered:
		return false
	}
	s.meter.Delay(now)
	return p.Warmup.Part(now, s.hash, p.bounds[s.Pool]) > 0
}

// Shut tells why no target of a pool takes work: all are evacuated, or those that are not are
// cold and have what they may get.
func (p *Placer) Shut(now time.Time, pool string) (evacuated, warming bool) {
	for _, s := range p.pools[pool] {
		evacuated = evacuated || s.evacuated
		warming = warming || s.takes() && p.cold(now, s)
	}
	return evacuated && !warming, warming
}

// setBounds takes what cold targets of each pool get.
func (p *Placer) setBounds(pools map[string]fleet.Pool) {
	p.bounds = make(map[string]warmup.Bound, len(pools))
	for name, pool := range pools {
		p.bounds[name] = p.Warmup.Bound(pool.WarmFor, pool.WarmRate)
	}
}
