package placement

import (
	"math"
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
	"laburnumfall/internal/prefixindex"
)

const (
	// strayWeight multiplies the prefill time of shared parts at a target that neither keeps them nor is
	// next in the order by hash. Without it, every router would pick an engine of its own for the same
	// parts when their holders are backlogged.
	strayWeight = 2
	// holderWeight multiplies the prefill time of shared parts at a holder that is not the owner. The
	// owner is preferred, so that parts with little demand are used at few targets, and the other
	// holders evict them.
	holderWeight = 0.125
	// reportShare is how many times the changes that the leader passes on all routers may tell together.
	reportShare = 2
	// ownTokensWeight is the weight of the latest request in the mean size of own parts.
	ownTokensWeight = 0.02
)

// prefixes is what a router knows of the parts that targets keep, for the pools that it tracks.
type prefixes struct {
	index     prefixindex.Index
	targets   []*state        // in the order of the index
	tracked   map[string]bool // pools whose targets the index has
	stale     bool            // the targets, the pools, or whether one is contended have changed since they were last set
	choice    uint64          // number of the latest choice
	parts     []prefixindex.Part
	matches   []prefixindex.Match
	ownTokens map[string]float64 // mean tokens of a request besides its shared parts, by pool

	term, next uint64 // of the last update
	reportedAt time.Time
	stats      PrefixStats
}

// PrefixStats are counts of what a router has learned and told of the parts that targets keep.
type PrefixStats struct {
	Entries                         int
	Sent, Received, Gone, Confirmed uint64
}

// keptPrefix is the beginning of a prompt that a target is believed to keep, as of one choice.
type keptPrefix struct {
	choice   uint64
	tokens   int
	lastUsed time.Time
	copyable bool
}

// tracksPrefixes reports whether the index says what the targets of a pool keep.
func (p *Placer) tracksPrefixes(pool string) bool {
	return p.Contended(pool) && p.engines[pool].KVCapacity > 0
}

// prefixIndex returns the index with the current targets. Its entries are those of tracked pools.
func (p *Placer) prefixIndex() *prefixindex.Index {
	if !p.prefixes.stale {
		return &p.prefixes.index
	}
	p.prefixes.stale, p.prefixes.tracked, p.prefixes.targets = false, make(map[string]bool), nil
	var list []fleet.Instance
	for pool := range p.engines {
		if p.tracksPrefixes(pool) {
			p.prefixes.tracked[pool] = true
			for _, s := range p.byPool[pool] {
				list, p.prefixes.targets = append(list, s.Instance), append(p.prefixes.targets, s)
			}
		}
	}
	p.prefixes.index.SetTargets(list, func(instance fleet.Instance) int { return p.engines[instance.Pool].KVCapacity })
	return &p.prefixes.index
}

// indexParts returns the shared parts of a prompt in the form of the index. The slice is reused.
func (p *Placer) indexParts(shared []PromptPart) []prefixindex.Part {
	p.prefixes.parts = p.prefixes.parts[:0]
	for _, part := range shared {
		p.prefixes.parts = append(p.prefixes.parts, prefixindex.Part(part))
	}
	return p.prefixes.parts
}

// findHolders adds what targets keep of a prompt to its owners.
func (p *Placer) findHolders(now time.Time, shared []PromptPart, owners *cacheOwners) {
	x := p.prefixIndex()
	p.prefixes.choice++
	owners.tracked, owners.choice, owners.sharedTokens = true, p.prefixes.choice, countTokens(shared)
	owners.lastUsed = x.LastUsed(shared[len(shared)-1].ID)
	p.prefixes.matches = x.Match(now, p.indexParts(shared), p.prefixes.matches[:0])
	for _, m := range p.prefixes.matches {
		s := p.prefixes.targets[m.Position]
		s.kept = keptPrefix{choice: owners.choice, tokens: min(m.Tokens, owners.sharedTokens), lastUsed: m.LastUsed, copyable: m.Copyable}
		owners.held = owners.held || s.kept.tokens == owners.sharedTokens
		if m.Copyable && s.canServeCopies(now) && (owners.source == nil || s.betterSource(owners.source)) {
			owners.source = s
		}
	}
}

// betterSource reports whether a target is a better one to copy from than another.
func (s *state) betterSource(other *state) bool {
	if s.kept.tokens != other.kept.tokens {
		return s.kept.tokens > other.kept.tokens
	}
	return s.copyingTokens < other.copyingTokens || s.copyingTokens == other.copyingTokens && s.hash > other.hash
}

// keptTokens returns how many tokens of a prompt's shared parts a target is believed to keep.
func (o *cacheOwners) keptTokens(s *state) int {
	if s.kept.choice != o.choice {
		return 0
	}
	return s.kept.tokens
}

// considerNext finds the target that ranks first of those that can take the request and do not keep
// its shared parts.
func (o *cacheOwners) considerNext(s *state, score uint64) {
	if o.tracked && o.keptTokens(s) < o.sharedTokens {
		o.next.consider(s, score)
	}
}

// planTracked returns the work that a target has to do for a prompt by what the index says.
//
// The owner counts as a holder of parts that nobody is known to keep: all routers send them there, and
// one of them may not have told yet. If their prefill was predicted for each of these requests, the
// owner would seem backlogged, and the next ones would spread the parts over other engines. Where some
// target keeps them, another one gets them
// by a copy, and only the next in the order by hash, unless the queue there is long as well.
func (p *Placer) planTracked(now time.Time, s *state, r Request, owners *cacheOwners) prefillPlan {
	kept := owners.keptTokens(s)
	plan := prefillPlan{prefillTokens: r.OwnTokens(), kept: kept}
	missing := owners.sharedTokens - kept
	if missing == 0 {
		if plan.keptSince = s.kept.lastUsed; s != owners.owner {
			plan.bias = p.prefillCost(s.Pool, holderWeight, owners.sharedTokens)
		}
		return plan
	}
	if kept > 0 {
		plan.keptSince = s.kept.lastUsed
	}
	plan.prefillTokens += missing
	if p.engines[s.Pool].CopyRate > 0 {
		p.planCopy(now, s, owners, &plan)
	}
	switch {
	case !owners.held && s == owners.owner:
		plan.prefillTokens, plan.copyTokens = r.OwnTokens(), 0
	case s == owners.next.target || s == owners.owner:
		displaced := p.prefixes.index.Displaced(s.Incarnation, missing, owners.lastUsed)
		plan.bias = p.prefillCost(s.Pool, prefillWeight, displaced)
	default:
		plan.bias = p.prefillCost(s.Pool, strayWeight, missing)
	}
	return plan
}

// planCopy lets a target copy what another one keeps beyond what it keeps itself. If nobody is known to
// keep the parts, it asks the target that ranks first, which may have them; this copy is not predicted.
func (p *Placer) planCopy(now time.Time, s *state, owners *cacheOwners, plan *prefillPlan) {
	switch source := owners.source; {
	case source != nil && source != s && source.kept.tokens > plan.kept:
		plan.source, plan.copyTokens, plan.sourceUsed = source, source.kept.tokens-plan.kept, source.kept.lastUsed
		plan.prefillTokens -= plan.copyTokens
	case source == nil && owners.first != nil && owners.first != s && owners.first.canServeCopies(now):
		plan.source = owners.first
	}
}

// prefillCost returns the weighted time of prefilling tokens.
func (p *Placer) prefillCost(pool string, weight float64, tokens int) time.Duration {
	return milliseconds(weight * float64(tokens) / p.prefillRateOf(pool))
}

// heldTokens returns how many tokens running requests of all routers hold at a target besides shared
// parts. Where memory is counted, shared parts that only other routers use are included.
func (p *Placer) heldTokens(now time.Time, s *state) int {
	if p.countsMemory(s.Pool) && (s.remote.Held > 0 || s.remote.Running == 0) {
		return max(s.heldTokens(now)-s.memory.shared, 0)
	}
	running := s.runningTotal(now)
	if s.Slots > 0 {
		running = min(running, s.Slots)
	}
	return int(p.prefixes.ownTokens[s.Pool] * float64(running))
}

// recordPrefixSend records that a request is sent to the chosen target.
func (p *Placer) recordPrefixSend(now time.Time, c *Choice, r Request) {
	if len(r.Parts) == 0 || !p.tracksPrefixes(r.Pool) {
		return
	}
	if p.prefixes.ownTokens == nil {
		p.prefixes.ownTokens = make(map[string]float64)
	}
	mean, ok := p.prefixes.ownTokens[r.Pool]
	if !ok {
		mean = float64(r.OwnTokens())
	}
	p.prefixes.ownTokens[r.Pool] = mean + ownTokensWeight*(float64(r.OwnTokens())-mean)
	c.shared = r.shared()
	p.prefixIndex().RecordSend(now, c.Target.Incarnation, p.indexParts(c.shared), p.heldTokens(now, c.state))
}

// recordPrefixEnd learns from the outcome of an attempt what its target keeps. An answer that failed, or
// did not come, says nothing of the parts; neither does what was never sent.
func (p *Placer) recordPrefixEnd(now time.Time, c *Choice, r Result, answered bool) {
	if len(c.shared) == 0 {
		return
	}
	x, parts := p.prefixIndex(), p.indexParts(c.shared)
	if r != Served && (r != Canceled || !answered) {
		x.RecordUnread(now, c.Target.Incarnation, parts, c.sentAt)
		return
	}
	x.RecordRead(c.Target.Incarnation, parts, c.sentAt)
	if r == Served && p.tracksPrefixes(c.Target.Pool) {
		p.judgePrefixes(now, c)
	}
}

// judgePrefixes learns from the time to the first byte of a complete answer whether what was believed
// kept was. The target keeps the prompt's parts either way by now; if it had to read them, it had
// evicted them and all that was used before them.
func (p *Placer) judgePrefixes(now time.Time, c *Choice) {
	answer := prefixindex.Answer{
		Believed: c.plan.kept + c.plan.copyTokens, PrefillRate: p.prefillRateOf(c.Target.Pool),
		Queue: c.QueueTime, Fixed: c.FixedTime, Predicted: c.PredictedTTFB, TTFB: c.TTFB,
	}
	if c.paceAtSend > 0 {
		answer.PrefillRate /= c.paceAtSend
		answer.Slowdown = c.slowdown() / c.paceAtSend
	}
	fromCopy := c.plan.copyTokens > c.plan.kept
	if answer.Unused = c.sentAt.Sub(c.plan.keptSince); fromCopy {
		answer.Believed, answer.Unused = c.plan.copyTokens, c.sentAt.Sub(c.plan.sourceUsed)
	}
	x := p.prefixIndex()
	switch answer.Verdict() {
	case prefixindex.Gone:
		p.prefixes.stats.Gone++
		if !fromCopy {
			x.RecordEvicted(now, c.Target.Incarnation, c.plan.keptSince)
			break
		}
		for _, part := range c.shared {
			x.RecordNotFound(now, c.plan.source.Incarnation, part.ID, c.sentAt)
		}
	case prefixindex.Kept:
		p.prefixes.stats.Confirmed++
		if !fromCopy {
			x.RecordConfirmed(now, c.Target.Incarnation, c.plan.keptSince)
		}
	case prefixindex.Unclear:
	}
}

// KeptReport returns what this router has to tell of the parts that targets keep, or nil if it tracks
// no pool.
func (p *Placer) KeptReport(now time.Time) *message.KeptReport {
	x := p.prefixIndex()
	if len(p.prefixes.tracked) == 0 {
		return nil
	}
	elapsed := min(now.Sub(p.prefixes.reportedAt), time.Second).Seconds()
	p.prefixes.reportedAt = now
	limit := math.Ceil(reportShare * prefixindex.ChangesPerSecond * elapsed / float64(max(p.Routers, 1)))
	changes := x.TakeChanges(now, int(limit))
	p.prefixes.stats.Sent += uint64(len(changes))
	report := &message.KeptReport{Term: p.prefixes.term, Next: p.prefixes.next}
	if len(changes) > 0 {
		report.Changes = prefixindex.Encode(changes)
	}
	return report
}

// ApplyKept applies what other routers have told of the parts that targets keep. It fails if the update
// is malformed, and then changes nothing.
func (p *Placer) ApplyKept(now time.Time, term uint64, update message.KeptUpdate) error {
	changes, err := prefixindex.Decode(update.Changes)
	if err != nil {
		return err
	}
	p.prefixes.term, p.prefixes.next = term, update.Next
	p.prefixes.stats.Received += uint64(len(changes))
	p.prefixIndex().ApplyChanges(now, changes)
	return nil
}

// refreshHeld tells the index what running requests hold at each target.
func (p *Placer) refreshHeld(now time.Time) {
	if len(p.prefixes.tracked) == 0 {
		return
	}
	for id, s := range p.states {
		p.prefixes.index.SetHeld(id, p.heldTokens(now, s))
	}
}

// PrefixStats returns the counts of what this router has learned and told.
func (p *Placer) PrefixStats() PrefixStats {
	stats := p.prefixes.stats
	stats.Entries = p.prefixes.index.Len()
	return stats
}

func countTokens(parts []PromptPart) int {
	sum := 0
	for _, part := range parts {
		sum += part.Tokens
	}
	return sum
}
