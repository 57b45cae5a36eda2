package workload

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"laburnumfall/internal/engine"
	"laburnumfall/internal/fleet"
)

// start is the simulated start time of every run; only differences to it matter.
var start = time.Unix(1e9, 0)

// A simulation is one run of a scenario under a policy.
type simulation struct {
	scenario Scenario
	policy   policy

	now              time.Time
	calls            callQueue
	lastSeq          int // sequence number of the last scheduled call
	engines          []*engine.Engine
	engineIDs        []string
	down             []bool // by engine
	attemptsOnEngine []map[uint64]*attempt
	stepEndScheduled []time.Time // by engine: the step end for which a call is scheduled, zero if there is none
	routes           []*fleet.Route
	random           *rand.Rand
	requests         []*request
	lastAttemptID    uint64
}

// A scheduledCall is a function that runs at a simulated time.
type scheduledCall struct {
	at   time.Time
	seq  int
	call func()
}

// callQueue implements heap.Interface. It orders calls by time, then by sequence number.
type callQueue []scheduledCall

func (q callQueue) Len() int { return len(q) }
func (q callQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q callQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *callQueue) Push(x any)   { *q = append(*q, x.(scheduledCall)) }
func (q *callQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// Run simulates a scenario under the policy with a name. It returns an error if there is no such
// policy.
func Run(scenario Scenario, name string, seed uint64) (Result, error) {
	policy, err := newPolicy(name)
	if err != nil {
		return Result{}, err
	}
	sim := &simulation{scenario: scenario, policy: policy, now: start, random: rand.New(rand.NewPCG(seed, 1<<32))}
	for _, kind := range scenario.Kinds {
		sim.routes = append(sim.routes, kind.route())
	}
	sim.addEngines()
	for _, arrival := range generateArrivals(scenario, seed) {
		r := &request{arrival: arrival, kind: &scenario.Kinds[arrival.kindIndex], route: sim.routes[arrival.kindIndex], sentAt: start.Add(arrival.at)}
		sim.requests = append(sim.requests, r)
		sim.schedule(r.sentAt, func() { sim.arrive(r) })
	}
	for _, disturbance := range scenario.Disturbances {
		sim.scheduleDisturbance(disturbance)
	}
	policy.Begin(sim)
	for len(sim.calls) > 0 {
		next := heap.Pop(&sim.calls).(scheduledCall)
		sim.now = next.at
		next.call()
	}
	return sim.result(name, seed), nil
}

// schedule runs a function at a simulated time. Functions scheduled for the same time run in the
// order in which they were scheduled.
func (sim *simulation) schedule(at time.Time, call func()) {
	sim.lastSeq++
	heap.Push(&sim.calls, scheduledCall{at: at, seq: sim.lastSeq, call: call})
}

func (sim *simulation) scheduleAfter(delay time.Duration, call func()) {
	sim.schedule(sim.now.Add(delay), call)
}

// arrivalsOver reports whether no more requests arrive. Periodic calls end then, so that the run
// ends.
func (sim *simulation) arrivalsOver() bool {
	return sim.now.Sub(start) > time.Duration(sim.scenario.Duration)
}

func (sim *simulation) addEngines() {
	settings := sim.scenario.Engines
	spec := engine.Spec{
		Slots: settings.Slots, QueueLimit: settings.QueueLimit, KVCapacity: settings.KVCapacity, BaseStepTime: time.Duration(settings.BaseStepTime), StepTimePerRequest: time.Duration(settings.StepTimePerRequest),
		PrefillRate: settings.PrefillRate, PrefillChunk: settings.PrefillChunk, CopyRate: settings.CopyRate,
	}
	for i := range settings.Count {
		if factors := settings.TimeFactors; len(factors) > 0 {
			spec.TimeFactor = factors[i%len(factors)]
		}
		sim.engines = append(sim.engines, &engine.Engine{Spec: spec})
		sim.engineIDs = append(sim.engineIDs, engineID(i))
		sim.attemptsOnEngine = append(sim.attemptsOnEngine, make(map[uint64]*attempt))
	}
	sim.stepEndScheduled, sim.down = make([]time.Time, settings.Count), make([]bool, settings.Count)
}

// latency returns the one-way latency between a router and an engine.
func (sim *simulation) latency(routerIndex, engineIndex int) time.Duration {
	if routerIndex%sim.scenario.Zones == engineIndex%sim.scenario.Zones {
		return time.Duration(sim.scenario.InZoneLatency)
	}
	return time.Duration(sim.scenario.CrossZoneLatency)
}

// scheduleDisturbance schedules a fault of engines. Disturbances of the load are part of the
// arrivals.
func (sim *simulation) scheduleDisturbance(disturbance Disturbance) {
	from, to := start.Add(time.Duration(disturbance.Start)), start.Add(time.Duration(disturbance.Start+disturbance.Duration))
	count := max(int(disturbance.Fraction*float64(len(sim.engines))), 1)
	switch disturbance.Kind {
	case disturbanceCrash:
		sim.schedule(from, func() { sim.crashEngines(count, to) })
	case disturbanceSlow:
		sim.schedule(from, func() { sim.slowEngines(count, disturbance.Factor, to) })
	case disturbanceNoise:
		for at := from; at.Before(to); at = at.Add(time.Duration(disturbance.Period)) {
			sim.schedule(at, func() { sim.slowEngines(count, disturbance.Factor, at.Add(time.Duration(disturbance.Period))) })
		}
	}
}

// slowEngines makes random engines take factor times as long, until a time.
func (sim *simulation) slowEngines(count int, factor float64, until time.Time) {
	for _, i := range sim.random.Perm(len(sim.engines))[:count] {
		e := sim.engines[i]
		e.SetSlowdown(e.Slowdown() * factor)
		sim.schedule(until, func() { e.SetSlowdown(e.Slowdown() / factor) })
	}
}

// crashEngines crashes random engines, which come back empty at a time.
func (sim *simulation) crashEngines(count int, until time.Time) {
	for _, i := range sim.random.Perm(len(sim.engines))[:count] {
		sim.down[i] = true
		lost := sim.attemptsOnEngine[i]
		sim.attemptsOnEngine[i] = make(map[uint64]*attempt)
		for _, id := range sim.engines[i].Crash() {
			if a := lost[id]; a != nil {
				sim.failAttempt(a)
			}
		}
		sim.schedule(until, func() { sim.down[i] = false; sim.policy.EnginesChanged(sim) })
	}
	sim.policy.EnginesChanged(sim)
}

// scheduleStepEnd schedules the end of an engine's current step.
func (sim *simulation) scheduleStepEnd(engineIndex int) {
	stepEnd, ok := sim.engines[engineIndex].StepEnd()
	if !ok || stepEnd.Equal(sim.stepEndScheduled[engineIndex]) {
		return
	}
	sim.stepEndScheduled[engineIndex] = stepEnd
	sim.schedule(stepEnd, func() {
		if !stepEnd.Equal(sim.stepEndScheduled[engineIndex]) {
			return
		}
		sim.stepEndScheduled[engineIndex] = time.Time{}
		for _, event := range sim.engines[engineIndex].FinishStep(sim.now) {
			if a := sim.attemptsOnEngine[engineIndex][event.RequestID]; a != nil {
				sim.deliver(a, event)
			}
		}
		sim.scheduleStepEnd(engineIndex)
		sim.policy.StepEnded(sim, engineIndex)
	})
}
