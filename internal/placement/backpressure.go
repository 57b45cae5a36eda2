package placement

import "time"

// RefreshSignals applies the signals of targets if they have changed since they were last applied.
func (p *Placer) RefreshSignals(now time.Time) {
	if p.Backpressure.Revision() != p.signalRevision || !p.signalsChangeAt.IsZero() && !now.Before(p.signalsChangeAt) {
		p.applySignals(now)
	}
}

// applySignals updates all states by the signals of their targets, and counts the targets that accept
// work.
func (p *Placer) applySignals(now time.Time) {
	p.signalRevision, p.signalsChangeAt = p.Backpressure.Revision(), time.Time{}
	p.accepting, p.acceptingInZone, p.backingOff = make(map[string]int), make(map[string]int), make(map[string]int)
	for _, s := range p.states {
		status := p.Backpressure.Status(s.Instance)
		s.saidLeaving, s.backoffEnd = status.Leaving(now), time.Time{}
		if status.BackingOff(now) {
			s.backoffEnd = status.BackoffEnd
		}
		if next := status.NextChange(now); !next.IsZero() && (p.signalsChangeAt.IsZero() || next.Before(p.signalsChangeAt)) {
			p.signalsChangeAt = next
		}
		p.count(s)
	}
}

// count adds a target to the counts of its pool.
func (p *Placer) count(s *state) {
	if !s.accepts() {
		return
	}
	p.accepting[s.Pool]++
	if s.Zone == p.Zone {
		p.acceptingInZone[s.Pool]++
	}
	if s.backingOff() {
		p.backingOff[s.Pool]++
	}
}

// backingOff reports whether the target wants no requests for now.
func (s *state) backingOff() bool {
	return !s.backoffEnd.IsZero()
}

// BackoffEnd returns when the first target that may run a request takes requests again, if all of
// them back off. It reports false if some target takes requests, or none accepts new work.
func (p *Placer) BackoffEnd(now time.Time, r Request) (end time.Time, ok bool) {
	p.RefreshSignals(now)
	for _, s := range p.byPool[r.Pool] {
		switch {
		case !r.allows(s.Instance), !s.accepts():
		case !s.backingOff():
			return time.Time{}, false
		case end.IsZero() || s.backoffEnd.Before(end):
			end = s.backoffEnd
		}
	}
	return end, !end.IsZero()
}
