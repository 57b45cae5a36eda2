package workload

import (
	"slices"
	"time"

	"laburnumfall/internal/placement"
)

// copyPart is the part of its time, as a divisor, that a copy counts like reading: it
// holds no step up, but a slot.
const copyPart = 4

// queue holds all requests in one queue before all engines, and knows all of every
// engine at every moment. An engine that has little left to read gets the request that
// earns most for the time that its reading takes. No fleet of routers can know as much,
// and shares count for nothing: it shows what better knowledge and order could gain.
type queue struct {
	silent

	waiting []*attempt
	flying  []int // tokens on their way to each engine
}

// Begin implements policy.
func (p *queue) Begin(w *world) {
	p.flying = make([]int, len(w.engines))
}

// Choose implements policy.
func (p *queue) Choose(w *world, a *attempt) (int, time.Duration) {
	p.waiting = append(p.waiting, a)
	for i := range w.engines {
		p.Step(w, i)
	}
	return -1, 0
}

// Targets implements policy.
func (p *queue) Targets(w *world) {
	for i := range w.engines {
		p.Step(w, i)
	}
}

// Step implements policy.
func (p *queue) Step(w *world, i int) {
	if w.away[i] {
		return
	}
	const ahead = 2 // chunks: one is being read, one is on its way
	e := w.engines[i]
	for {
		unread, _ := e.PrefillBacklog(nil)
		running, waiting := e.Load()
		if unread+p.flying[i] >= ahead*e.PrefillChunk || running+waiting >= e.Slots {
			return
		}
		at := p.best(w, i)
		if at < 0 {
			return
		}
		a := p.waiting[at]
		p.waiting = slices.Delete(p.waiting, at, at+1)
		p.send(w, a, i)
	}
}

func (p *queue) send(w *world, a *attempt, i int) {
	reads, _, from := w.reading(i, a)
	if from >= 0 {
		a.choice = &placement.Choice{CopyFrom: w.ids[from]}
	}
	p.flying[i] += reads
	w.after(w.hop(a.router, i), func() { p.flying[i] -= reads })
	w.sendTo(a, i)
}

// best returns the place of the request that earns most at an engine, or -1.
func (p *queue) best(w *world, i int) int {
	p.waiting = slices.DeleteFunc(p.waiting, func(a *attempt) bool { return a.fate != pending })
	best, most := -1, 0.0
	for at, a := range p.waiting {
		reads, copying, _ := w.reading(i, a)
		took := milliseconds(float64(reads)/w.Scenario.Engines.PrefillRate) + w.engines[i].BaseStepTime + copying/copyPart
		worth := a.kind.Value
		if w.now.Add(took+copying).Sub(a.sentAt) > time.Duration(a.kind.LatencyObjective) {
			worth = a.kind.LateValue
		}
		if gain := worth * (1 + a.size) / float64(took); best < 0 || gain > most {
			best, most = at, gain
		}
	}
	return best
}

// reading returns the tokens that an engine would have to read for an attempt, and how
// long it would copy the rest, from which engine. It copies only what is there sooner
// than it would be read.
func (w *world) reading(i int, a *attempt) (tokens int, copying time.Duration, from int) {
	e := w.engines[i]
	_, own := e.PrefillBacklog(a.parts)
	if w.Scenario.Engines.CopyRate <= 0 {
		return own, 0, -1
	}
	keeper, kept := w.keeper(a.parts)
	lacking := kept - e.CachedTokens(a.parts)
	if lacking <= 0 {
		return own, 0, -1
	}
	copying = w.engines[keeper].CopyTime(w.now, lacking, w.Scenario.Engines.CopyRate)
	if copying >= milliseconds(float64(lacking)/w.Scenario.Engines.PrefillRate) {
		return own, 0, -1
	}
	return own - lacking, copying, keeper
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}

// keeper returns the engine that keeps most of a prompt, and how many tokens.
func (w *world) keeper(parts []placement.PromptPart) (best, kept int) {
	best = -1
	for i, e := range w.engines {
		if held := e.CachedTokens(parts); !w.away[i] && held > kept {
			best, kept = i, held
		}
	}
	return best, kept
}
