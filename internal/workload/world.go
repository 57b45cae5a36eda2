package workload

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"laburnumfall/internal/engine"
	"laburnumfall/internal/fleet"
)

// start is when every run starts; only differences count.
var start = time.Unix(1e9, 0)

// A world is one run of a scenario under a policy.
type world struct {
	Scenario Scenario
	Policy   policy

	now      time.Time
	queue    timeline
	count    int // of scheduled calls
	engines  []*engine.Engine
	ids      []string
	away     []bool // crashed engines
	jobs     []map[uint64]*attempt
	due      []time.Time // for which step ends the engines are scheduled
	routes   []*fleet.Route
	random   *rand.Rand
	requests []*request
	attempts uint64
}

// A scheduled call is carried out at its time.
type scheduled struct {
	at  time.Time
	seq int
	do  func()
}

type timeline []scheduled

func (t timeline) Len() int { return len(t) }
func (t timeline) Less(i, j int) bool {
	return t[i].at.Before(t[j].at) || t[i].at.Equal(t[j].at) && t[i].seq < t[j].seq
}
func (t timeline) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timeline) Push(x any)   { *t = append(*t, x.(scheduled)) }
func (t *timeline) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// Run plays a scenario under a policy.
func Run(s Scenario, name string, seed uint64) (Result, error) {
	p, err := newPolicy(name)
	if err != nil {
		return Result{}, err
	}
	w := &world{Scenario: s, Policy: p, now: start, random: rand.New(rand.NewPCG(seed, 1<<32))}
	for _, k := range s.Kinds {
		w.routes = append(w.routes, k.route())
	}
	w.addEngines()
	for _, a := range draw(s, seed) {
		r := &request{arrival: a, kind: &s.Kinds[a.kind], route: w.routes[a.kind], sentAt: start.Add(a.at)}
		w.requests = append(w.requests, r)
		w.at(r.sentAt, func() { w.arrive(r) })
	}
	for _, t := range s.Disturbances {
		w.plan(t)
	}
	p.Begin(w)
	for len(w.queue) > 0 {
		next := heap.Pop(&w.queue).(scheduled)
		w.now = next.at
		next.do()
	}
	return w.result(name, seed), nil
}

// at schedules a call.
func (w *world) at(at time.Time, do func()) {
	w.count++
	heap.Push(&w.queue, scheduled{at: at, seq: w.count, do: do})
}

func (w *world) after(d time.Duration, do func()) {
	w.at(w.now.Add(d), do)
}

// over reports whether nothing more comes: what only repeats may end.
func (w *world) over() bool {
	return w.now.Sub(start) > time.Duration(w.Scenario.Duration)
}

func (w *world) addEngines() {
	e := w.Scenario.Engines
	spec := engine.Spec{
		Slots: e.Slots, QueueLimit: e.QueueLimit, KVCapacity: e.KVCapacity, BaseStepTime: time.Duration(e.BaseStepTime), StepTimePerRequest: time.Duration(e.StepTimePerRequest),
		PrefillRate: e.PrefillRate, PrefillChunk: e.PrefillChunk, CopyRate: e.CopyRate,
	}
	for i := range e.Count {
		w.engines = append(w.engines, &engine.Engine{Spec: spec})
		w.ids = append(w.ids, engineID(i))
		w.jobs = append(w.jobs, make(map[uint64]*attempt))
	}
	w.due, w.away = make([]time.Time, e.Count), make([]bool, e.Count)
}

// hop is the time from a router to an engine.
func (w *world) hop(router, engine int) time.Duration {
	if router%w.Scenario.Zones == engine%w.Scenario.Zones {
		return time.Duration(w.Scenario.InZoneLatency)
	}
	return time.Duration(w.Scenario.CrossZoneLatency)
}

// plan schedules a trouble of engines; those of callers are drawn with their requests.
func (w *world) plan(t Disturbance) {
	from, to := start.Add(time.Duration(t.Start)), start.Add(time.Duration(t.Start+t.Duration))
	count := max(int(t.Fraction*float64(len(w.engines))), 1)
	switch t.Kind {
	case troubleCrash:
		w.at(from, func() { w.crash(count, to) })
	case troubleSlow:
		w.at(from, func() {
			for _, i := range w.random.Perm(len(w.engines))[:count] {
				w.engines[i].SetSlowdown(t.Factor)
				w.at(to, func() { w.engines[i].SetSlowdown(1) })
			}
		})
	}
}

func (w *world) crash(count int, until time.Time) {
	for _, i := range w.random.Perm(len(w.engines))[:count] {
		w.away[i] = true
		lost := w.jobs[i]
		w.jobs[i] = make(map[uint64]*attempt)
		for _, id := range w.engines[i].Crash() {
			if a := lost[id]; a != nil {
				w.broken(a)
			}
		}
		w.at(until, func() { w.away[i] = false; w.Policy.Targets(w) })
	}
	w.Policy.Targets(w)
}

// stir schedules the end of an engine's present step.
func (w *world) stir(i int) {
	next, ok := w.engines[i].StepEnd()
	if !ok || next.Equal(w.due[i]) {
		return
	}
	w.due[i] = next
	w.at(next, func() {
		if !next.Equal(w.due[i]) {
			return
		}
		w.due[i] = time.Time{}
		for _, ev := range w.engines[i].FinishStep(w.now) {
			if a := w.jobs[i][ev.RequestID]; a != nil {
				w.made(a, ev)
			}
		}
		w.stir(i)
		w.Policy.Step(w, i)
	})
}
