package placement

import (
	"math"
	"slices"
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/quota"
)

// drawnTargets is how many targets of the router's zone are considered for a request on average, and as
// many of the whole pool, besides those that have its shared parts.
const drawnTargets = 3

// minDrawn is how many targets are considered at least, so that no prompt depends on a single one.
const minDrawn = 2

// A draw is the random part of a pool's targets that are considered for one prompt, besides those that
// have its shared parts cached.
//
// All routers know the same paces and queues, some time late. With jitter alone, a target that is better
// than the others by a few milliseconds gets many times its part of all requests until the next report.
// With a draw, it gets at most the requests for which it is drawn: a fixed multiple of its part, however
// much better it seems. Work still moves away from slow targets, since it is unlikely that all drawn
// ones are slow. A caller that is refused and comes back in another report period meets another draw.
type draw struct {
	limited            bool // if not, all targets are considered
	seed               uint64
	zone               fleet.Zone
	inZone, inAllZones uint64 // a target is drawn if its score is at most this
	hasShared          bool   // the prompt has shared parts
}

// drawFor returns the draw for a prompt to a pool whose targets differ in pace, and otherwise one that is
// not limited.
func (p *Placer) drawFor(now time.Time, r Request) draw {
	if len(r.Parts) == 0 || p.NoJitter || p.uneven[r.Pool] == nil || r.anyTarget || r.OnlyTarget != "" || r.OnlyVersion != nil {
		return draw{}
	}
	turn := now.UnixNano() / int64(quota.ReportPeriod(p.Routers))
	return draw{
		limited: true, seed: rendezvousScore(r.Parts[len(r.Parts)-1].ID, uint64(turn)), zone: p.Zone,
		inZone: drawLimit(p.acceptingInZone[r.Pool]), inAllZones: drawLimit(p.accepting[r.Pool]),
		hasShared: len(r.shared()) > 0,
	}
}

// drawLimit returns the score up to which targets are drawn, so that drawnTargets of them are on average.
func drawLimit(targets int) uint64 {
	if targets <= drawnTargets {
		return math.MaxUint64
	}
	return math.MaxUint64 / uint64(targets) * drawnTargets
}

// draws reports whether a target of a score is drawn.
func (d *draw) draws(s *state, score uint64) bool {
	if s.Zone == d.zone {
		return score <= d.inZone
	}
	return score <= d.inAllZones
}

// candidates returns the targets to choose from: those that can take the request, and of these, if the
// draw is limited, the ones drawn and those that have the shared parts or are next to get them. The slice
// is reused.
func (p *Placer) candidates(now time.Time, r Request, draw *draw, owners *cacheOwners) []*state {
	hasOthers := p.availableCount(r) > len(r.Avoid)
	var spare spareTargets
	list, drawn := p.candidateList[:0], 0
	for _, s := range p.byPool[r.Pool] {
		if !r.allows(s.Instance) || !p.canSend(now, s) || hasOthers && slices.Contains(r.Avoid, s.Incarnation) {
			continue
		}
		if draw.limited {
			score := rendezvousScore(draw.seed, s.hash)
			switch {
			case draw.draws(s, score):
				drawn++
			case s == owners.next.target, draw.hasShared && p.hasShared(now, s, r, owners):
			default:
				spare.consider(s, score)
				continue
			}
		}
		list = append(list, s)
	}
	if draw.limited && drawn < minDrawn {
		list = append(list, spare.targets[:min(spare.count, minDrawn-drawn)]...)
	}
	p.candidateList = list
	return list
}

// hasShared reports whether a target counts as one that has all shared parts of a prompt.
func (p *Placer) hasShared(now time.Time, s *state, r Request, owners *cacheOwners) bool {
	if owners.tracked {
		return owners.keptTokens(s) == owners.sharedTokens || !owners.held && s == owners.owner
	}
	return !owners.chargesUncached(s) || s.uncachedTokens(now, r) == 0
}

// spareTargets are the targets with the lowest scores of those that were not drawn, lowest first.
type spareTargets struct {
	targets [minDrawn]*state
	scores  [minDrawn]uint64
	count   int
}

func (t *spareTargets) consider(s *state, score uint64) {
	i := t.count
	if i == minDrawn {
		if i--; score >= t.scores[i] {
			return
		}
	} else {
		t.count++
	}
	for ; i > 0 && score < t.scores[i-1]; i-- {
		t.targets[i], t.scores[i] = t.targets[i-1], t.scores[i-1]
	}
	t.targets[i], t.scores[i] = s, score
}
