package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/quarantine"
)

const (
	// tick is the time step of a simulation.
	tick = 25 * time.Millisecond
	// runTime is how long a target runs a request, and reportPeriod is how often a router
	// reports.
	runTime      = 100 * time.Millisecond
	reportPeriod = 250 * time.Millisecond
	// permitWait is how long a request waits for a permit.
	permitWait = 600 * time.Millisecond
	// restartTime is how long a target takes to restart after a termination.
	restartTime = 2 * time.Second
)

// A simulation connects Guards with Coordinators and EntryStores on one clock. Its links lose,
// duplicate and delay messages.
type simulation struct {
	now     time.Time
	random  *rand.Rand
	routers []*router
	targets []*target
	// store is the replicated state. Entries are committed at once, and the next leader has them.
	store       quarantine.EntryStore
	coordinator *quarantine.Coordinator
	term        uint64
	events      []event
	startCount  int

	lossRate, duplicateRate float64
	maxDelay                time.Duration

	// poison has the requests that terminate each target that runs them.
	poison       map[quarantine.Fingerprint]bool
	runs         map[quarantine.Fingerprint][]time.Time
	terminations map[quarantine.Fingerprint][]time.Time
	completions  map[quarantine.Fingerprint][]time.Time
}

type event struct {
	at time.Time
	do func()
}

type router struct {
	guard        *quarantine.Guard
	name         string
	reportedAt   time.Time
	waitingUntil map[quarantine.Fingerprint]time.Time // requests that wait for a permit
	partitioned  bool                                 // cannot reach the leader
	ready        bool                                 // has received an update since its start
}

type target struct {
	id         string
	restartsAt time.Time
	running    map[*run]bool
}

type run struct {
	router      *router
	guard       *quarantine.Guard
	fingerprint quarantine.Fingerprint
	decision    quarantine.Decision
	target      *target
	done        bool
}

func newSimulation(seed uint64, routers, targets int) *simulation {
	s := &simulation{
		now: time.Unix(1e9, 0), random: rand.New(rand.NewPCG(seed, 3)), poison: map[quarantine.Fingerprint]bool{},
		runs: map[quarantine.Fingerprint][]time.Time{}, terminations: map[quarantine.Fingerprint][]time.Time{}, completions: map[quarantine.Fingerprint][]time.Time{},
	}
	for i := range routers {
		r := &router{name: fmt.Sprintf("r%d", i)}
		s.restartRouter(r)
		s.routers = append(s.routers, r)
	}
	for range targets {
		t := &target{}
		s.startTarget(t)
		s.targets = append(s.targets, t)
	}
	s.startTerm()
	return s
}

func (s *simulation) restartRouter(r *router) {
	s.startCount++
	r.guard = &quarantine.Guard{Owner: fmt.Sprintf("%s/%d", r.name, s.startCount)}
	r.waitingUntil = map[quarantine.Fingerprint]time.Time{}
	r.ready = false
}

func (s *simulation) startTarget(t *target) {
	s.startCount++
	t.id, t.running = fmt.Sprintf("t%d", s.startCount), map[*run]bool{}
}

// startTerm replaces the leader by one that has only the replicated state.
func (s *simulation) startTerm() {
	s.term++
	s.coordinator = &quarantine.Coordinator{AvailableTargets: func(string) []string {
		var targets []string
		for _, t := range s.targets {
			if !s.now.Before(t.restartsAt) {
				targets = append(targets, t.id)
			}
		}
		return targets
	}}
	var restored quarantine.EntryStore
	restored.Restore(s.store.Snapshot())
	s.store = restored
	s.coordinator.Load(s.now, s.store.Entries())
}

func (s *simulation) schedule(delay time.Duration, do func()) {
	s.events = append(s.events, event{at: s.now.Add(delay), do: do})
}

func (s *simulation) advance(until time.Time) {
	for s.now.Before(until) {
		s.now = s.now.Add(tick)
		for _, t := range s.targets {
			if !t.restartsAt.IsZero() && !s.now.Before(t.restartsAt) && len(t.running) == 0 && t.id == "" {
				s.startTarget(t)
			}
		}
		pending := s.events
		s.events = nil
		for _, event := range pending {
			if event.at.After(s.now) {
				s.events = append(s.events, event)
				continue
			}
			event.do()
		}
		for _, r := range s.routers {
			s.stepRouter(r)
		}
	}
}

// stepRouter retries waiting requests, gives up those that waited too long, and sends a report
// when it is due.
func (s *simulation) stepRouter(r *router) {
	for fp, until := range r.waitingUntil {
		if s.now.After(until) {
			delete(r.waitingUntil, fp)
			r.guard.CancelPermitRequest(fp)
			continue
		}
		s.attempt(r, fp)
	}
	if s.now.Sub(r.reportedAt) >= reportPeriod || len(r.waitingUntil) > 0 && s.now.Sub(r.reportedAt) >= 2*tick {
		s.report(r)
	}
}

func (s *simulation) report(r *router) {
	r.reportedAt = s.now
	reportedAt, guard, report := s.now, r.guard, r.guard.Report(s.now)
	copies := 1
	if s.random.Float64() < s.duplicateRate {
		copies = 2
	}
	for range copies {
		if r.partitioned || s.random.Float64() < s.lossRate {
			continue
		}
		s.schedule(s.randomDelay(), func() {
			s.coordinator.HandleReport(s.now, guard.Owner, report)
			entries, _ := s.coordinator.TakeChanges()
			s.store.Put(entries)
			update, term := s.coordinator.UpdateFor(s.now, report, &s.store), s.term
			if s.random.Float64() < s.lossRate {
				return
			}
			s.schedule(s.randomDelay(), func() {
				if r.guard == guard {
					guard.ApplyUpdate(s.now, reportedAt, term, update)
					r.ready = true
				}
			})
		})
	}
}

func (s *simulation) randomDelay() time.Duration {
	if s.maxDelay == 0 {
		return 0
	}
	return time.Duration(s.random.Int64N(int64(s.maxDelay)))
}

// send sends a request through a router.
func (s *simulation) send(r *router, fp quarantine.Fingerprint) {
	if _, waiting := r.waitingUntil[fp]; !waiting && r.ready {
		s.attempt(r, fp)
	}
}

func (s *simulation) attempt(r *router, fp quarantine.Fingerprint) {
	decision := r.guard.Check(s.now, fp)
	_, waiting := r.waitingUntil[fp]
	switch {
	case decision.Action == quarantine.AwaitPermit && !waiting:
		r.waitingUntil[fp] = s.now.Add(permitWait)
		r.guard.RequestPermit(fp)
	case decision.Action == quarantine.AwaitPermit:
	default:
		if waiting {
			delete(r.waitingUntil, fp)
			r.guard.CancelPermitRequest(fp)
		}
		if decision.Action == quarantine.Allow {
			s.run(r, fp, decision)
		}
	}
}

func (s *simulation) run(r *router, fp quarantine.Fingerprint, decision quarantine.Decision) {
	r.guard.MarkSent(decision, fp)
	var running []*target
	for _, t := range s.targets {
		if t.id != "" && (decision.PermitTarget == "" || decision.PermitTarget == t.id) {
			running = append(running, t)
		}
	}
	if len(running) == 0 {
		r.guard.ReturnPermit(s.now, decision, fp, true)
		return
	}
	execution := &run{router: r, guard: r.guard, fingerprint: fp, decision: decision, target: running[s.random.IntN(len(running))]}
	execution.target.running[execution] = true
	s.runs[fp] = append(s.runs[fp], s.now)
	s.schedule(runTime, func() {
		switch {
		case execution.done:
		case s.poison[fp]:
			s.terminate(execution.target)
		default:
			execution.done = true
			delete(execution.target.running, execution)
			s.completions[fp] = append(s.completions[fp], s.now)
			execution.guard.RecordCompletion(s.now, fp)
		}
	})
}

// terminate terminates a target. Its running requests are interrupted, and the routers detect
// the termination one tick later.
func (s *simulation) terminate(t *target) {
	id := fleet.Incarnation{ID: t.id}
	counted := map[quarantine.Fingerprint]bool{}
	for execution := range t.running {
		execution.done = true
		if !counted[execution.fingerprint] {
			s.terminations[execution.fingerprint] = append(s.terminations[execution.fingerprint], s.now)
			counted[execution.fingerprint] = true
		}
		if execution.guard.RecordInterruption(s.now, quarantine.Execution{Fingerprint: execution.fingerprint, Account: "a", Pool: "p", Target: id}) {
			s.schedule(tick, func() { execution.guard.RecordTermination(s.now, id) })
		}
	}
	clear(t.running)
	t.id, t.restartsAt = "", s.now.Add(restartTime)
}
