package placement

import (
	"cmp"
	"slices"
	"time"

	"laburnumfall/internal/message"
)

// Backlog returns the prompt tokens and requests that this router has outstanding at each target,
// sorted by target ID. Targets with nothing outstanding are left out.
func (p *Placer) Backlog() []message.Backlog {
	list := make([]message.Backlog, 0, len(p.states))
	for target, s := range p.states {
		if s.pendingTokens > 0 || s.running > 0 {
			b := message.NewBacklog(target, s.pendingTokens, s.running)
			if p.countsMemory(s.Pool) {
				b = s.memory.report(b)
			}
			list = append(list, b)
		}
	}
	slices.SortFunc(list, func(a, b message.Backlog) int { return cmp.Compare(a.Target, b.Target) })
	return list
}

// SetRemoteBacklog replaces the backlog that all other routers have outstanding at targets.
// Entries for another incarnation of a target are ignored.
func (p *Placer) SetRemoteBacklog(now time.Time, list []message.Backlog) {
	for _, s := range p.states {
		s.remote, s.remoteAt = message.Backlog{}, now
		s.memory.dropRecent(now)
	}
	byID := make(map[string][]message.Backlog, len(list))
	for _, b := range list {
		byID[b.Target] = append(byID[b.Target], b)
	}
	for target, s := range p.states {
		for _, b := range byID[target.ID] {
			if b.Incarnation().MayEqual(target) {
				s.remote = s.remote.Add(b)
			}
		}
	}
	p.refreshMemory(now)
	p.refreshHeld(now)
}
