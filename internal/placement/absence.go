package placement

import (
	"slices"
	"time"

	"laburnumfall/internal/fleet"
)

const (
	// absentHere is how long a target counts as gone that this router has found so, unless the
	// leader says it of all routers.
	absentHere = time.Second
	// absentAtMost bounds how long the leader's word on that counts while none is heard.
	absentAtMost = 10 * time.Second
	// foundFor is how long the leader is told of a target that was found to be gone.
	foundFor = 2 * time.Second
)

// Absent notes that a target is gone: nobody listens at its address, or another one does.
func (p *Placer) Absent(now time.Time, target fleet.Incarnation) {
	s := p.states[target]
	if s == nil {
		return
	}
	s.foundAt, p.looked = now, look{}
	s.absentUntil(now.Add(absentHere))
}

// SetAbsent takes the targets that any router has found to be gone.
func (p *Placer) SetAbsent(now time.Time, targets []fleet.Incarnation) {
	p.looked = look{}
	absent := make(map[fleet.Incarnation]bool, len(targets))
	for _, target := range targets {
		absent[target] = true
	}
	for target, s := range p.states {
		switch {
		case absent[target]:
			s.absentUntil(now.Add(absentAtMost))
		case now.Sub(s.foundAt) >= absentHere:
			s.absent = time.Time{}
		}
	}
}

// Found returns the targets that this router has found to be gone lately.
func (p *Placer) Found(now time.Time) []fleet.Incarnation {
	var list []fleet.Incarnation
	for target, s := range p.states {
		if !s.foundAt.IsZero() && now.Sub(s.foundAt) < foundFor {
			list = append(list, target)
		}
	}
	return list
}

func (s *state) absentUntil(end time.Time) {
	if end.After(s.absent) {
		s.absent = end
	}
}

// gone reports whether a target counts as gone. Where all of a pool do, none does: some may
// be back.
func (p *Placer) gone(now time.Time, s *state) bool {
	return now.Before(s.absent) && p.present(now, s.Pool)
}

// present reports whether any target of a pool that takes work does not count as gone. It is
// asked for many targets in one choice.
func (p *Placer) present(now time.Time, pool string) bool {
	if p.looked.pool != pool || !p.looked.at.Equal(now) {
		p.looked = look{pool: pool, at: now, present: slices.ContainsFunc(p.pools[pool], func(s *state) bool {
			return s.takes() && !now.Before(s.absent)
		})}
	}
	return p.looked.present
}

// A look is what was seen of a pool at a moment.
type look struct {
	pool    string
	at      time.Time
	present bool
}
