package workload

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumfall/internal/placement"
)

// A policy decides where requests go. Its calls come in the order of time.
type policy interface {
	// Begin is called before the first request.
	Begin(w *world)
	// Targets is called when engines go or come back.
	Targets(w *world)
	// Ask is called once for each attempt of a caller, before Choose.
	Ask(w *world, a *attempt)
	// Choose returns an engine, or -1 and when the caller may come back. If that is 0, the
	// request waits until the policy sends it.
	Choose(w *world, a *attempt) (engine int, back time.Duration)
	// First and Ended tell a router what became of an attempt.
	First(w *world, a *attempt)
	Ended(w *world, a *attempt, r placement.Result)
	// Step is called when an engine has ended a step.
	Step(w *world, engine int)
}

// The names of the policies.
const (
	PolicyRandom        = "random"
	PolicyLeastRequests = "least"  // requests in flight, through the same router
	PolicyPrefixHash    = "hash"   // of the prompt's shared parts
	PolicyRouter        = "router" // what routers do
	PolicyCentralQueue  = "queue"  // one queue before all engines that knows all of them
)

// Policies are the names, in the order in which they are compared.
var Policies = []string{PolicyRandom, PolicyLeastRequests, PolicyPrefixHash, PolicyRouter, PolicyCentralQueue}

func newPolicy(name string) (policy, error) {
	if p, ok := ablation(name); ok {
		return p, nil
	}
	switch name {
	case PolicyRandom:
		return &random{}, nil
	case PolicyLeastRequests:
		return &least{}, nil
	case PolicyPrefixHash:
		return &hash{}, nil
	case PolicyRouter:
		return &routers{}, nil
	case PolicyCentralQueue:
		return &queue{}, nil
	default:
		return nil, fmt.Errorf("there is no policy %q (choose among %v)", name, append(slices.Clone(Policies), Ablations()[1:]...))
	}
}

func engineID(i int) string {
	return "e" + strconv.Itoa(i)
}

// silent is a policy that heeds nothing that it is told.
type silent struct{}

func (silent) Begin(*world)                             {}
func (silent) Targets(*world)                           {}
func (silent) Ask(*world, *attempt)                     {}
func (silent) First(*world, *attempt)                   {}
func (silent) Ended(*world, *attempt, placement.Result) {}
func (silent) Step(*world, int)                         {}

// random sends each request to any engine.
type random struct{ silent }

var (
	_ policy = &random{}
	_ policy = &least{}
	_ policy = &hash{}
	_ policy = &routers{}
	_ policy = &queue{}
)

// Choose implements policy.
func (*random) Choose(w *world, _ *attempt) (int, time.Duration) {
	return w.pick(func(int) float64 { return w.random.Float64() })
}

// least sends each request to the engine that has the fewest of its router's requests.
type least struct {
	silent

	flying map[[2]int]int // by router and engine
}

// Begin implements policy.
func (p *least) Begin(*world) { p.flying = make(map[[2]int]int) }

// Choose implements policy.
func (p *least) Choose(w *world, a *attempt) (int, time.Duration) {
	i, back := w.pick(func(i int) float64 { return float64(p.flying[[2]int{a.router, i}]) + w.random.Float64() })
	if i >= 0 {
		p.flying[[2]int{a.router, i}]++
	}
	return i, back
}

// Ended implements policy.
func (p *least) Ended(_ *world, a *attempt, _ placement.Result) {
	p.flying[[2]int{a.router, a.engine}]--
}

// hash sends each request to the engine that comes first in the order of a hash of its
// last shared part.
type hash struct{ silent }

// Choose implements policy.
func (*hash) Choose(w *world, a *attempt) (int, time.Duration) {
	shared := a.parts[:len(a.parts)-1]
	if len(shared) == 0 {
		return w.pick(func(int) float64 { return w.random.Float64() })
	}
	key := shared[len(shared)-1].ID
	return w.pick(func(i int) float64 { return float64(xxhash.Sum64String(strconv.FormatUint(key, 16) + w.ids[i])) })
}

// pick returns the engine of the least cost among those that are there.
func (w *world) pick(cost func(i int) float64) (int, time.Duration) {
	best, bestCost := -1, 0.0
	for i := range w.engines {
		if w.away[i] {
			continue
		}
		if c := cost(i); best < 0 || c < bestCost {
			best, bestCost = i, c
		}
	}
	return best, time.Second
}
