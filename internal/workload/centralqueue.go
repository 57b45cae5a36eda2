package workload

import (
	"slices"
	"time"

	"laburnumfall/internal/placement"
)

// copyCostDivisor reduces the cost of a copy relative to prefill of the same duration: a copy
// occupies a slot but does not lengthen steps.
const copyCostDivisor = 4

// centralQueuePolicy holds all requests in one queue in front of all engines and always knows the
// exact state of every engine. An engine that has little left to prefill gets the request with
// the highest value for the time that its prefill takes. Real routers cannot know that much, and
// account shares are ignored: the policy shows how much better knowledge and ordering could gain.
type centralQueuePolicy struct {
	passive

	waiting          []*attempt
	prefillInTransit []int // tokens of requests on the way to each engine
}

// Begin implements policy.
func (p *centralQueuePolicy) Begin(sim *simulation) {
	p.prefillInTransit = make([]int, len(sim.engines))
}

// Choose implements policy.
func (p *centralQueuePolicy) Choose(sim *simulation, a *attempt) (int, time.Duration) {
	p.waiting = append(p.waiting, a)
	for i := range sim.engines {
		p.StepEnded(sim, i)
	}
	return -1, 0
}

// EnginesChanged implements policy.
func (p *centralQueuePolicy) EnginesChanged(sim *simulation) {
	for i := range sim.engines {
		p.StepEnded(sim, i)
	}
}

// StepEnded implements policy.
func (p *centralQueuePolicy) StepEnded(sim *simulation, engineIndex int) {
	if sim.down[engineIndex] {
		return
	}
	const maxChunksAhead = 2 // one chunk in prefill and one in transit
	e := sim.engines[engineIndex]
	for {
		backlog, _ := e.PrefillBacklog(nil)
		running, waiting := e.Load()
		if backlog+p.prefillInTransit[engineIndex] >= maxChunksAhead*e.PrefillChunk || running+waiting >= e.Slots {
			return
		}
		index := p.mostValuable(sim, engineIndex)
		if index < 0 {
			return
		}
		a := p.waiting[index]
		p.waiting = slices.Delete(p.waiting, index, index+1)
		p.send(sim, a, engineIndex)
	}
}

func (p *centralQueuePolicy) send(sim *simulation, a *attempt, engineIndex int) {
	prefill, _, source := sim.prefillPlan(engineIndex, a)
	if source >= 0 {
		a.choice = &placement.Choice{CopyFrom: sim.engineIDs[source]}
	}
	p.prefillInTransit[engineIndex] += prefill
	sim.scheduleAfter(sim.latency(a.routerIndex, engineIndex), func() { p.prefillInTransit[engineIndex] -= prefill })
	sim.sendTo(a, engineIndex)
}

// mostValuable returns the index of the queued request with the highest value per time at an
// engine, or -1 if the queue is empty.
func (p *centralQueuePolicy) mostValuable(sim *simulation, engineIndex int) int {
	p.waiting = slices.DeleteFunc(p.waiting, func(a *attempt) bool { return a.outcome != outcomePending })
	best, maxGain := -1, 0.0
	for index, a := range p.waiting {
		prefill, copyTime, _ := sim.prefillPlan(engineIndex, a)
		cost := milliseconds(float64(prefill)/sim.scenario.Engines.PrefillRate) + sim.engines[engineIndex].BaseStepTime + copyTime/copyCostDivisor
		value := a.kind.Value
		if sim.now.Add(cost+copyTime).Sub(a.sentAt) > time.Duration(a.kind.LatencyObjective) {
			value = a.kind.LateValue
		}
		if gain := value * (1 + a.weightedTokens) / float64(cost); best < 0 || gain > maxGain {
			best, maxGain = index, gain
		}
	}
	return best
}

// prefillPlan returns how many tokens of an attempt an engine would have to prefill, how long it
// would copy cached tokens from another engine, and the index of that engine or -1. Tokens are
// copied only if that takes less time than prefill.
func (sim *simulation) prefillPlan(engineIndex int, a *attempt) (prefill int, copyTime time.Duration, source int) {
	e := sim.engines[engineIndex]
	_, uncached := e.PrefillBacklog(a.parts)
	if sim.scenario.Engines.CopyRate <= 0 {
		return uncached, 0, -1
	}
	holder, cached := sim.bestCopySource(a.parts)
	copied := cached - e.CachedTokens(a.parts)
	if copied <= 0 {
		return uncached, 0, -1
	}
	copyTime = sim.engines[holder].CopyTime(sim.now, copied, sim.scenario.Engines.CopyRate)
	if copyTime >= milliseconds(float64(copied)/sim.scenario.Engines.PrefillRate) {
		return uncached, 0, -1
	}
	return uncached - copied, copyTime, holder
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}

// bestCopySource returns the engine that has cached most tokens of a prompt, and how many. It
// returns -1 if no engine has any.
func (sim *simulation) bestCopySource(parts []placement.PromptPart) (best, cached int) {
	best = -1
	for i, e := range sim.engines {
		if tokens := e.CachedTokens(parts); !sim.down[i] && tokens > cached {
			best, cached = i, tokens
		}
	}
	return best, cached
}
