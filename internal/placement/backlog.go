package placement

import (
	"cmp"
	"slices"
	"time"

	"laburnumfall/internal/message"
)

// Backlog returns what this router has sent to targets.
func (p *Placer) Backlog() []message.Backlog {
	list := make([]message.Backlog, 0, len(p.states))
	for id, s := range p.states {
		if s.pending > 0 || s.running > 0 {
			list = append(list, message.Backlog{Target: id, Tokens: s.pending, Running: s.running})
		}
	}
	slices.SortFunc(list, func(a, b message.Backlog) int { return cmp.Compare(a.Target, b.Target) })
	return list
}

// SetOthers takes what all other routers have sent to targets.
func (p *Placer) SetOthers(now time.Time, list []message.Backlog) {
	for _, s := range p.states {
		s.others, s.othersAt = message.Backlog{}, now
	}
	for _, b := range list {
		if s := p.states[b.Target]; s != nil {
			s.others = b
		}
	}
}
