// Package placement chooses the target of each request.
//
// A Placer is deterministic: its methods take the time and an event, and it has no clock,
// goroutine or socket. Every router runs one, and routers do not coordinate single requests. They
// agree on the engine that caches a shared part of a prompt because all of them rank the same
// targets by the same hash of that part (rendezvous hashing).
package placement

import (
	"slices"
	"time"

	"laburnumfall/internal/backpressure"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/pace"
	"laburnumfall/internal/warmup"
)

// Parameters of the cost model. None depends on the deployment: values that do are configured or
// learned from answers.
const (
	// assumedPrefillRate is how many prompt tokens an engine prefills per millisecond, until
	// answers have been measured. It is half the rate of current engines, so that the first
	// estimates favor spreading requests.
	assumedPrefillRate = 30.0
	// assumedServiceTime is how long a plain service works on a request, until answers have been
	// measured.
	assumedServiceTime = 30 * time.Millisecond
	// assumedStreamTime is how long an engine works on a streamed answer, until answers have been
	// measured.
	assumedStreamTime = time.Second
	// prefillWeight multiplies the prefill time of a prompt in a choice: prefill also delays
	// everything else at the engine, since every step of the batch takes longer meanwhile.
	prefillWeight = 4
	// remoteLoadLifetime is how long the number of requests reported for other routers is used.
	remoteLoadLifetime = 2 * time.Second
	// cacheLifetime is how long a part counts as cached at the target that this router sent it
	// to. Running requests evict cached parts from an engine's KV cache; parts last for about that
	// long after their last use.
	cacheLifetime = 15 * time.Second
	// reportedQueueLifetime is how long the queue length that a target reported is used, with
	// linearly falling weight. Requests wait in engines for some hundred milliseconds.
	reportedQueueLifetime = 500 * time.Millisecond
	// crossZoneCost is the cost of a target in another zone: two round trips, and traffic that is
	// billed. With a much higher cost, the other zones would not take over work from a zone that
	// lost targets.
	crossZoneCost = 20 * time.Millisecond
	// refusedCost discourages sending to a target for refusedDuration after it refused a request
	// because it was full.
	refusedCost     = 400 * time.Millisecond
	refusedDuration = 300 * time.Millisecond
	// failureCost multiplies the square of a target's failure rate. Some services fail one in
	// seven requests at their best: at that rate the cost is 60 ms, the same at all targets. At
	// one in two it outweighs prefilling any prompt again.
	failureCost = 3 * time.Second
	// failureWeight is the weight of the latest result in the failure rate.
	failureWeight = 0.15
	// failureHalfLife halves the failure rate of a target that gets no work, so that it is tried
	// again.
	failureHalfLife = 4 * time.Second
	// minDownTime and maxDownTime bound how long a target is avoided after a connection to it
	// failed.
	minDownTime = 300 * time.Millisecond
	maxDownTime = 3 * time.Second
	// unresponsiveAfter is how long a request may wait for its first byte, while the target
	// answers nothing at all, before the target is considered hung.
	unresponsiveAfter = 800 * time.Millisecond
)

// maxLastSent bounds the number of parts whose last target a router remembers. When it is
// reached, all are dropped, and requests go to the owners of their parts again.
const maxLastSent = 8192

// lastSend is the target that this router last sent a prompt's shared parts to, and since when it
// has been the same one.
type lastSend struct {
	target *state
	since  time.Time
}

// A Placer chooses targets. Set the exported fields, then call its methods from one goroutine at
// a time, with times that never decrease.
type Placer struct {
	Zone fleet.Zone
	// Routers is the number of routers that share the targets.
	Routers int
	// NoJitter disables the random cost in choices.
	NoJitter bool
	// Warmup is this router's share of the requests that cold targets may get.
	Warmup warmup.Budget
	// Backpressure holds what targets have said in their responses about further requests.
	Backpressure *backpressure.Tracker
	// MemoryPressure says that a target terminates if the requests that it holds exceed its memory.
	MemoryPressure bool

	states             map[fleet.Incarnation]*state
	lastSent           map[uint64]lastSend // by ID of the last shared part
	byPool             map[string][]*state
	accepting          map[string]int              // number of targets that accept new work, by pool
	acceptingInZone    map[string]int              // number of those in this router's zone, by pool
	backingOff         map[string]int              // number of accepting targets that back off now, by pool
	signalRevision     uint64                      // of Backpressure, when it was last applied
	signalsChangeAt    time.Time                   // when it must be applied again; zero if not
	engines            map[string]fleet.Engine     // by pool
	failureRates       []float64                   // reused by medianFailureRate
	candidateList      []*state                    // reused by candidates
	learnedPrefillRate float64                     // prompt tokens per millisecond and engine; 0 until measured
	coldLimits         map[string]warmup.RateLimit // by pool

	evacuatedZones fleet.EvacuatedZones
	coldUntil      map[fleet.Incarnation]time.Time // reported end of the cold period
	serviceTimes   map[string]serviceTime          // by pool
	memory         map[string]poolMemory           // by pool, as of the last sum of the leader
	meanSizes      map[string]float64              // tokens of a request, by pool
	offeredRate    fleetRate
	sentRate       fleetRate
	ratesAt        time.Time
	sentCount      decayingCount         // prompts that this router has sent where memory is counted
	blockedCount   decayingCount         // prompts for which no target had memory
	uneven         map[string]*pace.Pool // pools whose targets report how long work takes
	poolPaces      map[string]*poolPace  // of these, and of pools that have ceased to be uneven
	nextEven       time.Time             // when the first of the uneven pools ceases to be, if nothing is stated
	choices        uint64                // number of choices for plain services that differ in pace
	prefixes       prefixes
}

// SetTargets replaces the list of targets and keeps the state of those that stay. A restarted
// target gets a new state without load, failures and cached parts. Attempts in progress at the
// previous incarnation still end on its state.
func (p *Placer) SetTargets(now time.Time, list []fleet.Instance) {
	states := make(map[fleet.Incarnation]*state, len(list))
	byPool := make(map[string][]*state)
	for _, instance := range list {
		s := p.states[instance.Incarnation]
		evacuated := p.evacuatedZones.Contains(instance.Zone)
		if s == nil || s.Leaving && !instance.Leaving || s.evacuated && !evacuated { // it may have restarted
			s = newState(now, instance)
			p.markAdded(now, s)
			p.prefixes.index.Forget(instance.Incarnation)
		}
		s.Instance, s.evacuated, s.poolPace = instance, evacuated, p.uneven[instance.Pool]
		states[instance.Incarnation] = s
		byPool[instance.Pool] = append(byPool[instance.Pool], s)
	}
	p.states, p.byPool, p.prefixes.stale = states, byPool, true
	p.dropOtherPaces()
	p.Backpressure.SetTargets(now, list)
	p.applySignals(now)
}

// AcceptingCount returns the number of targets that accept new work.
func (p *Placer) AcceptingCount() int {
	sum := 0
	for _, n := range p.accepting {
		sum += n
	}
	return sum
}

// Accepts reports whether a target accepts new work, now or after it has backed off.
func (p *Placer) Accepts(target fleet.Incarnation) bool {
	s := p.states[target]
	return s != nil && s.accepts()
}

// Choose returns the target with the lowest cost, which is the predicted time to first byte plus
// penalties. It reports false if no target of the pool can take the request.
func (p *Placer) Choose(now time.Time, r Request) (*Choice, bool) {
	p.RefreshSignals(now)
	p.refreshUneven(now)
	var best *state
	var bestCost, bestQueueTime, bestPrefillTime time.Duration
	var bestPlan prefillPlan
	owners := p.cacheOwners(now, r)
	medianFailureRate := p.medianFailureRate(now, r.Pool)
	jitter, draw, rate := p.jitterFor(now, r), p.drawFor(now, r), p.prefillRateOf(r.Pool)
	memory, blocked := p.memoryRuleFor(now, r), false
	for _, s := range p.candidates(now, r, &draw, &owners) {
		if !memory.allows(now, s) {
			blocked = true
			continue
		}
		plan := p.planPrefill(now, s, r, &owners)
		queueTime, prefillTime := p.predictWait(now, s, r, plan)
		copyTime := p.copyTime(plan)
		cost := queueTime + prefillWeight*prefillTime + copyTime + copyWeight*milliseconds(float64(plan.copyTokens)/rate) + p.penalty(now, s, medianFailureRate) + plan.bias
		if s != owners.owner && (best == nil || cost < bestCost) {
			cost += jitter.cost(s)
		}
		if best == nil || cost < bestCost {
			best, bestCost, bestQueueTime, bestPrefillTime, bestPlan = s, cost, queueTime, prefillTime+copyTime, plan
		}
	}
	if best == nil && draw.limited {
		r.anyTarget = true
		return p.Choose(now, r)
	}
	if best == nil && blocked {
		if len(r.Avoid) > 0 {
			r.Avoid = nil
			return p.Choose(now, r)
		}
		p.blockedCount.add(now)
	}
	if best == nil {
		return nil, false
	}
	c := &Choice{Target: best.Instance, QueueTime: bestQueueTime, PredictedTTFB: bestQueueTime + bestPrefillTime, IsOwner: best == owners.owner, state: best, plan: bestPlan, PrefillTokens: bestPlan.prefillTokens}
	if bestPlan.source != nil {
		c.CopyFrom = bestPlan.source.Address
	}
	c.Memory = memory.part(now, best)
	c.Kept, c.Tracked = bestPlan.kept, owners.tracked
	c.FixedTime, c.isPrompt = p.fixedTime(r), len(r.Parts) > 0
	c.PredictedTTFB += c.FixedTime
	c.OwnPrefillTime = c.FixedTime + milliseconds(float64(r.OwnTokens())/rate)
	c.Load = float64(best.runningTotal(now)) / float64(max(best.Slots, 1))
	c.slotRounds = best.slotRounds(now)
	c.ownPartOnly = c.PrefillTokens == r.OwnTokens() && bestPlan.source == nil
	return c, true
}

// availableCount returns how many targets take requests now, of the versions that a request allows.
func (p *Placer) availableCount(r Request) int {
	if r.OnlyVersion == nil {
		return p.accepting[r.Pool] - p.backingOff[r.Pool]
	}
	count := 0
	for _, s := range p.byPool[r.Pool] {
		if r.allows(s.Instance) && s.accepts() && !s.backingOff() {
			count++
		}
	}
	return count
}

// HasVersion reports whether a target of the version that a request allows accepts new work, now or after
// it has backed off.
func (p *Placer) HasVersion(r Request) bool {
	r.OnlyTarget = ""
	return slices.ContainsFunc(p.byPool[r.Pool], func(s *state) bool { return s.accepts() && r.allows(s.Instance) })
}

// penalty returns the cost of a target besides its queue: another zone and recent failures.
func (p *Placer) penalty(now time.Time, s *state, medianFailureRate float64) time.Duration {
	var cost time.Duration
	if s.Zone != p.Zone {
		cost += crossZoneCost
	}
	return cost + s.failurePenalty(now, medianFailureRate)
}

// medianFailureRate returns the median of the failure rates of a pool's targets.
func (p *Placer) medianFailureRate(now time.Time, pool string) float64 {
	p.failureRates = p.failureRates[:0]
	healthy := 0
	for _, s := range p.byPool[pool] {
		if s.failureRate == 0 {
			healthy++
			continue
		}
		p.failureRates = append(p.failureRates, s.currentFailureRate(now))
	}
	middle := (len(p.byPool[pool])+1)/2 - healthy - 1
	if middle < 0 {
		return 0 // at least half have no failures
	}
	slices.Sort(p.failureRates)
	return p.failureRates[middle]
}

// RecordLoad records what a target has reported of its load.
func (p *Placer) RecordLoad(now time.Time, target fleet.Incarnation, load pace.Report) {
	s := p.states[target]
	if s == nil {
		return
	}
	s.reportedWaiting, s.reportedAt = load.Waiting, now
	p.recordPace(now, s, load.Slowdown)
}

// Contended reports whether a pool's targets need more care than an even load: they differ in speed, as
// far as they have reported, or terminate if the requests that they hold exceed their memory.
func (p *Placer) Contended(pool string) bool {
	return p.MemoryPressure || p.uneven[pool] != nil
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
