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
	for target, s := range p.states {
		if s.pending > 0 || s.running > 0 {
			list = append(list, message.BacklogOf(target, s.pending, s.running))
		}
	}
	slices.SortFunc(list, func(a, b message.Backlog) int { return cmp.Compare(a.Target, b.Target) })
	return list
}

// SetRemoteBacklog takes what all other routers have sent to targets.
func (p *Placer) SetRemoteBacklog(now time.Time, list []message.Backlog) {
	for _, s := range p.states {
		s.others, s.othersAt = message.Backlog{}, now
	}
	byID := make(map[string][]message.Backlog, len(list))
	for _, b := range list {
		byID[b.Target] = append(byID[b.Target], b)
	}
	for target, s := range p.states {
		for _, b := range byID[target.ID] {
			if b.Of().Like(target) {
				s.others = s.others.Plus(b)
			}
		}
	}
}
