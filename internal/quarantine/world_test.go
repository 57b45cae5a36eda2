package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/quarantine"
)

const (
	// step is the time between two moments of a world.
	step = 25 * time.Millisecond
	// runTime is how long a target runs a request, and period how often a router reports.
	runTime = 100 * time.Millisecond
	period  = 250 * time.Millisecond
	// askTime is how long a request waits for a permit.
	askTime = 600 * time.Millisecond
	// awayTime is how long a target that ended is away.
	awayTime = 2 * time.Second
)

// A world joins real Guards with real Registries and Books over links that lose, double and
// delay, on one clock.
type world struct {
	now     time.Time
	random  *rand.Rand
	routers []*router
	targets []*target
	// book is the durable part: what is put is there at once, also for the next leader.
	book     quarantine.EntryStore
	registry *quarantine.Coordinator
	term     uint64
	agenda   []event
	starts   int

	loss, twice float64
	late        time.Duration

	// guilty ends each target that runs it.
	guilty map[quarantine.Fingerprint]bool
	runs   map[quarantine.Fingerprint][]time.Time
	ends   map[quarantine.Fingerprint][]time.Time
	whole  map[quarantine.Fingerprint][]time.Time
}

type event struct {
	at time.Time
	do func()
}

type router struct {
	guard    *quarantine.Guard
	name     string
	reported time.Time
	waiting  map[quarantine.Fingerprint]time.Time // until when
	cut      bool                                 // off from the leader
	serves   bool                                 // it has heard of the leader since its start
}

type target struct {
	id      string
	back    time.Time
	running map[*run]bool
}

type run struct {
	by      *router
	guard   *quarantine.Guard
	print   quarantine.Fingerprint
	verdict quarantine.Decision
	on      *target
	done    bool
}

func newWorld(seed uint64, routers, targets int) *world {
	w := &world{
		now: time.Unix(1e9, 0), random: rand.New(rand.NewPCG(seed, 3)), guilty: map[quarantine.Fingerprint]bool{},
		runs: map[quarantine.Fingerprint][]time.Time{}, ends: map[quarantine.Fingerprint][]time.Time{}, whole: map[quarantine.Fingerprint][]time.Time{},
	}
	for i := range routers {
		r := &router{name: fmt.Sprintf("r%d", i)}
		w.boot(r)
		w.routers = append(w.routers, r)
	}
	for range targets {
		t := &target{}
		w.startTarget(t)
		w.targets = append(w.targets, t)
	}
	w.lead()
	return w
}

func (w *world) boot(r *router) {
	w.starts++
	r.guard = &quarantine.Guard{Owner: fmt.Sprintf("%s/%d", r.name, w.starts)}
	r.waiting = map[quarantine.Fingerprint]time.Time{}
	r.serves = false
}

func (w *world) startTarget(t *target) {
	w.starts++
	t.id, t.running = fmt.Sprintf("t%d", w.starts), map[*run]bool{}
}

// lead begins a term with a leader that knows nothing but the book.
func (w *world) lead() {
	w.term++
	w.registry = &quarantine.Coordinator{AvailableTargets: func(string) []string {
		var list []string
		for _, t := range w.targets {
			if !w.now.Before(t.back) {
				list = append(list, t.id)
			}
		}
		return list
	}}
	var saved quarantine.EntryStore
	saved.Restore(w.book.Snapshot())
	w.book = saved
	w.registry.Load(w.now, w.book.Entries())
}

func (w *world) after(d time.Duration, do func()) {
	w.agenda = append(w.agenda, event{at: w.now.Add(d), do: do})
}

func (w *world) play(until time.Time) {
	for w.now.Before(until) {
		w.now = w.now.Add(step)
		for _, t := range w.targets {
			if !t.back.IsZero() && !w.now.Before(t.back) && len(t.running) == 0 && t.id == "" {
				w.startTarget(t)
			}
		}
		due := w.agenda
		w.agenda = nil
		for _, e := range due {
			if e.at.After(w.now) {
				w.agenda = append(w.agenda, e)
				continue
			}
			e.do()
		}
		for _, r := range w.routers {
			w.turn(r)
		}
	}
}

// turn has a router report when it is time, and give up on what waited too long.
func (w *world) turn(r *router) {
	for p, until := range r.waiting {
		if w.now.After(until) {
			delete(r.waiting, p)
			r.guard.CancelPermitRequest(p)
			continue
		}
		w.try(r, p)
	}
	if w.now.Sub(r.reported) >= period || len(r.waiting) > 0 && w.now.Sub(r.reported) >= 2*step {
		w.report(r)
	}
}

func (w *world) report(r *router) {
	r.reported = w.now
	asked, guard, m := w.now, r.guard, r.guard.Report(w.now)
	copies := 1
	if w.random.Float64() < w.twice {
		copies = 2
	}
	for range copies {
		if r.cut || w.random.Float64() < w.loss {
			continue
		}
		w.after(w.delay(), func() {
			w.registry.HandleReport(w.now, guard.Owner, m)
			put, _ := w.registry.TakeChanges()
			w.book.Put(put)
			answer, term := w.registry.UpdateFor(w.now, m, &w.book), w.term
			if w.random.Float64() < w.loss {
				return
			}
			w.after(w.delay(), func() {
				if r.guard == guard {
					guard.ApplyUpdate(w.now, asked, term, answer)
					r.serves = true
				}
			})
		})
	}
}

func (w *world) delay() time.Duration {
	if w.late == 0 {
		return 0
	}
	return time.Duration(w.random.Int64N(int64(w.late)))
}

// send is a caller's request through a router.
func (w *world) send(r *router, p quarantine.Fingerprint) {
	if _, waits := r.waiting[p]; !waits && r.serves {
		w.try(r, p)
	}
}

func (w *world) try(r *router, p quarantine.Fingerprint) {
	v := r.guard.Check(w.now, p)
	_, waits := r.waiting[p]
	switch {
	case v.Action == quarantine.AwaitPermit && !waits:
		r.waiting[p] = w.now.Add(askTime)
		r.guard.RequestPermit(p)
	case v.Action == quarantine.AwaitPermit:
	default:
		if waits {
			delete(r.waiting, p)
			r.guard.CancelPermitRequest(p)
		}
		if v.Action == quarantine.Allow {
			w.run(r, p, v)
		}
	}
}

func (w *world) run(r *router, p quarantine.Fingerprint, v quarantine.Decision) {
	r.guard.MarkSent(v, p)
	var live []*target
	for _, t := range w.targets {
		if t.id != "" && (v.PermitTarget == "" || v.PermitTarget == t.id) {
			live = append(live, t)
		}
	}
	if len(live) == 0 {
		r.guard.ReturnPermit(w.now, v, p, true)
		return
	}
	x := &run{by: r, guard: r.guard, print: p, verdict: v, on: live[w.random.IntN(len(live))]}
	x.on.running[x] = true
	w.runs[p] = append(w.runs[p], w.now)
	w.after(runTime, func() {
		switch {
		case x.done:
		case w.guilty[p]:
			w.end(x.on)
		default:
			x.done = true
			delete(x.on.running, x)
			w.whole[p] = append(w.whole[p], w.now)
			x.guard.RecordCompletion(w.now, p)
		}
	})
}

// end ends a target: all that runs there is cut, and its routers find out.
func (w *world) end(t *target) {
	id := fleet.Incarnation{ID: t.id}
	counted := map[quarantine.Fingerprint]bool{}
	for x := range t.running {
		x.done = true
		if !counted[x.print] {
			w.ends[x.print] = append(w.ends[x.print], w.now)
			counted[x.print] = true
		}
		if x.guard.RecordInterruption(w.now, quarantine.Execution{Fingerprint: x.print, Account: "a", Pool: "p", Target: id}) {
			w.after(step, func() { x.guard.RecordTermination(w.now, id) })
		}
	}
	clear(t.running)
	t.id, t.back = "", w.now.Add(awayTime)
}
