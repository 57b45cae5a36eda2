package workload

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumfall/internal/placement"
)

// A policy decides which engine gets a request. Its methods are called in order of simulated
// time.
type policy interface {
	// Begin is called before the first request.
	Begin(sim *simulation)
	// EnginesChanged is called after engines crash or restart.
	EnginesChanged(sim *simulation)
	// RequestArrived is called once for each attempt of a caller, before Choose.
	RequestArrived(sim *simulation, a *attempt)
	// Choose returns the index of an engine, or -1 and the time after which the caller may retry.
	// If that time is 0, the request waits until the policy sends it.
	Choose(sim *simulation, a *attempt) (engineIndex int, retryAfter time.Duration)
	// FirstByte is called when the router receives the first token of an attempt, and
	// AttemptEnded when an attempt at an engine ends.
	FirstByte(sim *simulation, a *attempt)
	AttemptEnded(sim *simulation, a *attempt, result placement.Result)
	// StepEnded is called after an engine finishes a step.
	StepEnded(sim *simulation, engineIndex int)
}

// The names of the policies.
const (
	PolicyRandom        = "random"
	PolicyLeastRequests = "least"  // the engine with the fewest requests in flight from the same router
	PolicyPrefixHash    = "hash"   // by a hash of the prompt's shared parts
	PolicyRouter        = "router" // the decisions of the real routers
	PolicyCentralQueue  = "queue"  // one queue in front of all engines, with full knowledge of their state
)

// Policies lists the policy names in the order in which results are compared.
var Policies = []string{PolicyRandom, PolicyLeastRequests, PolicyPrefixHash, PolicyRouter, PolicyCentralQueue}

func newPolicy(name string) (policy, error) {
	if ablated, ok := ablationPolicy(name); ok {
		return ablated, nil
	}
	switch name {
	case PolicyRandom:
		return &randomPolicy{}, nil
	case PolicyLeastRequests:
		return &leastRequestsPolicy{}, nil
	case PolicyPrefixHash:
		return &prefixHashPolicy{}, nil
	case PolicyRouter:
		return &routerPolicy{}, nil
	case PolicyCentralQueue:
		return &centralQueuePolicy{}, nil
	default:
		return nil, fmt.Errorf("there is no policy %q (choose among %v)", name, append(slices.Clone(Policies), Ablations()[1:]...))
	}
}

func engineID(index int) string {
	return "e" + strconv.Itoa(index)
}

// passive is a policy without Choose that ignores all notifications.
type passive struct{}

func (passive) Begin(*simulation)                                    {}
func (passive) EnginesChanged(*simulation)                           {}
func (passive) RequestArrived(*simulation, *attempt)                 {}
func (passive) FirstByte(*simulation, *attempt)                      {}
func (passive) AttemptEnded(*simulation, *attempt, placement.Result) {}
func (passive) StepEnded(*simulation, int)                           {}

// randomPolicy sends each request to a random engine.
type randomPolicy struct{ passive }

var (
	_ policy = &randomPolicy{}
	_ policy = &leastRequestsPolicy{}
	_ policy = &prefixHashPolicy{}
	_ policy = &routerPolicy{}
	_ policy = &centralQueuePolicy{}
)

// Choose implements policy.
func (*randomPolicy) Choose(sim *simulation, _ *attempt) (int, time.Duration) {
	return sim.cheapestEngine(func(int) float64 { return sim.random.Float64() })
}

// leastRequestsPolicy sends each request to the engine with the fewest requests in flight from
// the same router.
type leastRequestsPolicy struct {
	passive

	inFlight map[[2]int]int // by router and engine
}

// Begin implements policy.
func (p *leastRequestsPolicy) Begin(*simulation) { p.inFlight = make(map[[2]int]int) }

// Choose implements policy.
func (p *leastRequestsPolicy) Choose(sim *simulation, a *attempt) (int, time.Duration) {
	engineIndex, retryAfter := sim.cheapestEngine(func(engineIndex int) float64 {
		return float64(p.inFlight[[2]int{a.routerIndex, engineIndex}]) + sim.random.Float64()
	})
	if engineIndex >= 0 {
		p.inFlight[[2]int{a.routerIndex, engineIndex}]++
	}
	return engineIndex, retryAfter
}

// AttemptEnded implements policy.
func (p *leastRequestsPolicy) AttemptEnded(_ *simulation, a *attempt, _ placement.Result) {
	p.inFlight[[2]int{a.routerIndex, a.engineIndex}]--
}

// prefixHashPolicy sends each request to the engine that rendezvous hashing of the prompt's last
// shared part selects.
type prefixHashPolicy struct{ passive }

// Choose implements policy.
func (*prefixHashPolicy) Choose(sim *simulation, a *attempt) (int, time.Duration) {
	shared := a.parts[:len(a.parts)-1]
	if len(shared) == 0 {
		return sim.cheapestEngine(func(int) float64 { return sim.random.Float64() })
	}
	key := shared[len(shared)-1].ID
	return sim.cheapestEngine(func(engineIndex int) float64 {
		return float64(xxhash.Sum64String(strconv.FormatUint(key, 16) + sim.engineIDs[engineIndex]))
	})
}

// cheapestEngine returns the engine with the lowest cost among those that are up. If there is
// none, it returns -1 and a retry time of one second.
func (sim *simulation) cheapestEngine(cost func(engineIndex int) float64) (int, time.Duration) {
	best, bestCost := -1, 0.0
	for engineIndex := range sim.engines {
		if sim.down[engineIndex] {
			continue
		}
		if engineCost := cost(engineIndex); best < 0 || engineCost < bestCost {
			best, bestCost = engineIndex, engineCost
		}
	}
	return best, time.Second
}
