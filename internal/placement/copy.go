package placement

import (
	"time"

	"laburnumfall/internal/fleet"
)

// copyWeight multiplies the prefill time of copied tokens, which is added to the cost of a choice
// on top of the transfer time. The copy is billed, and it takes KV capacity from other cached
// parts, which are then prefilled again. So a request leaves the owner only if the queue there is
// much longer than the copy takes, however fast the link is.
const copyWeight = 4

// stickyFor is how long requests with the same shared parts stay at the target that this router
// sent them to while their owner was backlogged. Engine queues last for some hundred
// milliseconds. Without a limit, a restarted engine would get no work.
const stickyFor = 2 * time.Second

// A prefillPlan is the work that a target does before it can begin to answer a prompt.
type prefillPlan struct {
	prefillTokens int    // prefilled by the target itself
	copyTokens    int    // copied from source instead of being prefilled
	source        *state // engine that has the uncached parts, or nil

	// The following are set for pools whose targets are tracked by the index.
	kept       int           // tokens of shared parts that the target is believed to keep
	keptSince  time.Time     // when the target last used them
	sourceUsed time.Time     // when the source last used the copied parts
	bias       time.Duration // cost of the choice besides the work
}

// cacheOwners are the targets that rendezvous hashing ranks first for a prompt's shared parts.
type cacheOwners struct {
	// owner ranks first among the targets that can take this request, either of the fleet or of
	// this router's zone. Prompts with these parts are preferably sent there.
	owner *state
	// first and second rank first in the fleet, including targets that are leaving: these keep
	// their cache until they stop.
	first, second *state
	// lastTarget is where this router last sent a prompt with these parts, or nil if they are
	// unlikely to be cached there. While sticky is set, requests with these parts stay there.
	lastTarget *state
	sticky     bool

	// The following are set for pools whose targets are tracked by the index.
	tracked      bool
	choice       uint64
	sharedTokens int
	held         bool      // some target is believed to keep all shared parts
	lastUsed     time.Time // when the last shared part was last used at any target
	source       *state    // keeps the most of the shared parts; nil if nobody keeps any
	next         bestScore // of the targets that do not keep all shared parts
}

// cacheOwners ranks the targets of the pool for a prompt's shared parts. All routers compute the
// same ranking from the last shared part; only lastTarget and sticky are local to this router.
func (p *Placer) cacheOwners(now time.Time, r Request) cacheOwners {
	shared := r.shared()
	if len(shared) == 0 {
		return cacheOwners{}
	}
	var owners cacheOwners
	var fleetBest, zoneBest bestScore // among targets that can take the request
	var firstScore, secondScore uint64
	key := shared[len(shared)-1].ID
	if p.tracksPrefixes(r.Pool) {
		p.findHolders(now, shared, &owners)
	}
	for _, s := range p.byPool[r.Pool] {
		score := rendezvousScore(key, s.hash)
		if p.canSend(now, s) {
			fleetBest.consider(s, score)
			owners.considerNext(s, score)
			if s.Zone == p.Zone {
				zoneBest.consider(s, score)
			}
		}
		if p.isCold(now, s) {
			continue // a cold target has no parts cached yet
		}
		switch {
		case owners.first == nil || score > firstScore:
			owners.second, secondScore = owners.first, firstScore
			owners.first, firstScore = s, score
		case owners.second == nil || score > secondScore:
			owners.second, secondScore = s, score
		}
	}
	owners.owner = fleetBest.target
	if zoneBest.target != nil && p.cachePerZone(r) {
		owners.owner = zoneBest.target
	}
	if owners.tracked {
		return owners
	}
	if last, ok := p.lastSent[key]; ok && p.states[last.target.Incarnation] == last.target && last.target.uncachedTokens(now, r) == 0 {
		owners.lastTarget, owners.sticky = last.target, now.Sub(last.since) < stickyFor
	}
	return owners
}

// cachedElsewhere reports whether this router last sent the parts to a target other than s, and
// they are probably still cached there.
func (o *cacheOwners) cachedElsewhere(s *state) bool {
	return o.lastTarget != nil && o.lastTarget != s
}

// chargesUncached reports whether parts that this router does not know to be cached at a target have to be
// prefilled or copied there.
func (o *cacheOwners) chargesUncached(s *state) bool {
	return s != o.owner || o.sticky && o.cachedElsewhere(s)
}

// copySource returns the target that most likely has cached what s has not, or nil.
func (o *cacheOwners) copySource(now time.Time, s *state) *state {
	switch {
	case o.cachedElsewhere(s):
		return o.lastTarget
	case s != o.first:
		return o.first
	case s.recentlyAdded(now):
		return o.second // s has just become the owner; this target was the owner before
	default:
		return nil
	}
}

// planPrefill returns the work that a target has to do for a prompt.
//
// At the owner, shared parts count as cached, since other routers send them there too. The
// exception is a part that this router has just sent to another target. An account's callers come
// in through few routers, so probably no other router has requested these parts, and they were
// prefilled elsewhere while the owner was backlogged. Sending the request to the owner at once
// would prefill them again.
//
// Uncached parts are copied from another engine if engines support it. A copy takes a fraction of
// the prefill time and does not delay other requests at either engine.
//
// In pools that the index tracks, only known holders count as having parts cached.
func (p *Placer) planPrefill(now time.Time, s *state, r Request, owners *cacheOwners) prefillPlan {
	if owners.tracked {
		return p.planTracked(now, s, r, owners)
	}
	uncached := s.uncachedTokens(now, r)
	plan := prefillPlan{prefillTokens: r.OwnTokens()}
	chargeUncached := owners.chargesUncached(s)
	if chargeUncached {
		plan.prefillTokens += uncached
	}
	if uncached == 0 || p.engines[s.Pool].CopyRate <= 0 {
		return plan
	}
	source := owners.copySource(now, s)
	if source == nil || !source.canServeCopies(now) {
		return plan
	}
	plan.source = source
	if chargeUncached {
		plan.prefillTokens, plan.copyTokens = r.OwnTokens(), uncached
	}
	return plan
}

// copyTime returns how long the copy for a prompt takes. An engine serves copies one after the
// other.
func (p *Placer) copyTime(plan prefillPlan) time.Duration {
	if plan.copyTokens == 0 {
		return 0
	}
	return milliseconds(float64(plan.source.copyingTokens+plan.copyTokens) / p.engines[plan.source.Pool].CopyRate)
}

// SetPools replaces the engine properties and the rate limits of cold targets of all pools.
func (p *Placer) SetPools(pools map[string]fleet.Pool) {
	p.setColdLimits(pools)
	p.prefixes.stale = true
	p.engines = make(map[string]fleet.Engine, len(pools))
	for name, pool := range pools {
		if pool.Engine != nil {
			p.engines[name] = *pool.Engine
		}
	}
}

// recentlyAdded reports whether a target is so new that parts it owns may not have been prefilled
// there yet.
func (s *state) recentlyAdded(now time.Time) bool {
	return now.Sub(s.addedAt) < cacheLifetime
}

// canServeCopies reports whether other engines may copy parts from a target: no connection has
// failed since its last answer, and it is not unresponsive.
func (s *state) canServeCopies(now time.Time) bool {
	return s.connectFailures == 0 && (s.unanswered == 0 || now.Sub(s.unansweredSince) <= unresponsiveAfter)
}

// releaseSource removes the plan's copy, if any, from the pending copies of its source.
func (p prefillPlan) releaseSource() {
	if p.source != nil {
		p.source.copyingTokens -= p.copyTokens
	}
}
