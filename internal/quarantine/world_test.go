package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

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
	book     quarantine.Book
	registry *quarantine.Registry
	term     uint64
	agenda   []event
	starts   int

	loss, twice float64
	late        time.Duration

	// guilty ends each target that runs it.
	guilty map[quarantine.Print]bool
	runs   map[quarantine.Print][]time.Time
	ends   map[quarantine.Print][]time.Time
	whole  map[quarantine.Print][]time.Time
}

type event struct {
	at time.Time
	do func()
}

type router struct {
	guard    *quarantine.Guard
	name     string
	reported time.Time
	waiting  map[quarantine.Print]time.Time // until when
	cut      bool                           // off from the leader
	serves   bool                           // it has heard of the leader since its start
}

type target struct {
	id      string
	back    time.Time
	running map[*run]bool
}

type run struct {
	by      *router
	guard   *quarantine.Guard
	print   quarantine.Print
	verdict quarantine.Verdict
	on      *target
	done    bool
}

func newWorld(seed uint64, routers, targets int) *world {
	w := &world{
		now: time.Unix(1e9, 0), random: rand.New(rand.NewPCG(seed, 3)), guilty: map[quarantine.Print]bool{},
		runs: map[quarantine.Print][]time.Time{}, ends: map[quarantine.Print][]time.Time{}, whole: map[quarantine.Print][]time.Time{},
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
	r.waiting = map[quarantine.Print]time.Time{}
	r.serves = false
}

func (w *world) startTarget(t *target) {
	w.starts++
	t.id, t.running = fmt.Sprintf("t%d", w.starts), map[*run]bool{}
}

// lead begins a term with a leader that knows nothing but the book.
func (w *world) lead() {
	w.term++
	w.registry = &quarantine.Registry{Targets: func(string) []string {
		var list []string
		for _, t := range w.targets {
			if !w.now.Before(t.back) {
				list = append(list, t.id)
			}
		}
		return list
	}}
	var saved quarantine.Book
	saved.Load(w.book.Save())
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
			r.guard.Unask(p)
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
			w.registry.Report(w.now, guard.Owner, m)
			put, _ := w.registry.Take()
			w.book.Put(put)
			answer, term := w.registry.RulingsFor(w.now, m, &w.book), w.term
			if w.random.Float64() < w.loss {
				return
			}
			w.after(w.delay(), func() {
				if r.guard == guard {
					guard.Heard(w.now, asked, term, answer)
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
func (w *world) send(r *router, p quarantine.Print) {
	if _, waits := r.waiting[p]; !waits && r.serves {
		w.try(r, p)
	}
}

func (w *world) try(r *router, p quarantine.Print) {
	v := r.guard.Check(w.now, p)
	_, waits := r.waiting[p]
	switch {
	case v.Do == quarantine.Wait && !waits:
		r.waiting[p] = w.now.Add(askTime)
		r.guard.Ask(p)
	case v.Do == quarantine.Wait:
	default:
		if waits {
			delete(r.waiting, p)
			r.guard.Unask(p)
		}
		if v.Do == quarantine.Run {
			w.run(r, p, v)
		}
	}
}

func (w *world) run(r *router, p quarantine.Print, v quarantine.Verdict) {
	r.guard.Begin(v, p)
	var live []*target
	for _, t := range w.targets {
		if t.id != "" && (v.Target == "" || v.Target == t.id) {
			live = append(live, t)
		}
	}
	if len(live) == 0 {
		r.guard.Over(w.now, v, p, true)
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
			x.guard.Whole(w.now, p)
		}
	})
}

// end ends a target: all that runs there is cut, and its routers find out.
func (w *world) end(t *target) {
	id := fleet.Incarnation{ID: t.id}
	counted := map[quarantine.Print]bool{}
	for x := range t.running {
		x.done = true
		if !counted[x.print] {
			w.ends[x.print] = append(w.ends[x.print], w.now)
			counted[x.print] = true
		}
		if x.guard.Cut(w.now, quarantine.Sight{Print: x.print, Account: "a", Pool: "p", Target: id}) {
			w.after(step, func() { x.guard.Gone(w.now, id) })
		}
	}
	clear(t.running)
	t.id, t.back = "", w.now.Add(awayTime)
}

// later returns how many of some moments come after one.
func later(list []time.Time, than time.Time) int {
	n := 0
	for _, at := range list {
		if at.After(than) {
			n++
		}
	}
	return n
}

const (
	// most is how many runs operators allow once all routers can know of the third end, which
	// is settled later.
	most    = 3
	settled = 3 * time.Second
)

// Symptom: targets end one after the other under one request.
// Sequence: it comes again and again through all routers, beside sound work, while reports
// and answers are lost, doubled and late, leaders change, and routers start anew.
// Cause: what a router has seen, or a leader granted, was known to it alone.
func TestARequestThatEndsTargetsRunsThriceMoreAtMost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 9).Draw(t, "routers"), rapid.IntRange(2, 8).Draw(t, "targets"))
		w.loss = rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(t, "loss")
		w.twice = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "twice")
		w.late = rapid.SampledFrom([]time.Duration{0, 50 * time.Millisecond, 200 * time.Millisecond}).Draw(t, "late")
		pause := rapid.SampledFrom([]time.Duration{50 * time.Millisecond, 300 * time.Millisecond, time.Second}).Draw(t, "pause")
		restarts := rapid.Bool().Draw(t, "restarts")
		w.guilty["bad"] = true
		start := w.now
		for n, end := 0, w.now.Add(2*time.Minute); w.now.Before(end); n++ {
			w.send(w.routers[w.random.IntN(len(w.routers))], "bad")
			w.send(w.routers[w.random.IntN(len(w.routers))], quarantine.Print(fmt.Sprint("sound", n)))
			if restarts && w.random.IntN(40) == 0 {
				w.lead()
			}
			if r := w.routers[w.random.IntN(len(w.routers))]; restarts && w.random.IntN(40) == 0 && !w.busy(r) {
				w.boot(r)
			}
			w.play(w.now.Add(pause))
		}
		if len(w.ends["bad"]) < most {
			t.Fatalf("only %d ends", len(w.ends["bad"]))
		}
		third := w.ends["bad"][most-1]
		if n := later(w.runs["bad"], third.Add(settled)); n > most {
			t.Fatalf("%d runs after %v; ends: %v", n, third.Sub(start), w.since(start, w.ends["bad"]))
		}
	})
}

// busy reports whether a router runs or tells something: one that ends then takes what it
// alone has seen along.
func (w *world) busy(r *router) bool {
	for _, t := range w.targets {
		for x := range t.running {
			if x.by == r {
				return true
			}
		}
	}
	return len(r.guard.Report(w.now).Ends) > 0 || len(r.guard.Doubts(w.now)) > 0
}

func (w *world) since(start time.Time, list []time.Time) []time.Duration {
	var out []time.Duration
	for _, at := range list {
		out = append(out, at.Sub(start))
	}
	return out
}

// Symptom: a sound request is held back for good.
// Sequence: targets end by themselves, three times, while it runs there; it comes again.
// Cause: all that runs on a target that ends is suspect, and nothing clears it.
func TestARequestThatWasOnlyThereIsServedAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 9).Draw(t, "routers"), rapid.IntRange(2, 8).Draw(t, "targets"))
		w.loss = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "loss")
		w.guilty["unlucky"] = true
		for range 200 {
			w.send(w.routers[w.random.IntN(len(w.routers))], "unlucky")
			w.play(w.now.Add(100 * time.Millisecond))
			if len(w.ends["unlucky"]) >= most {
				break
			}
		}
		require.GreaterOrEqual(t, len(w.ends["unlucky"]), most)
		w.guilty["unlucky"] = false
		luck := w.now
		const bound = 20 * time.Second // the first trial comes after ten
		for w.now.Before(luck.Add(bound)) {
			w.send(w.routers[w.random.IntN(len(w.routers))], "unlucky")
			w.play(w.now.Add(time.Second))
		}
		if len(w.whole["unlucky"]) == 0 {
			t.Fatalf("never served again")
		}
		from := len(w.whole["unlucky"])
		for range 10 {
			w.send(w.routers[w.random.IntN(len(w.routers))], "unlucky")
			w.play(w.now.Add(time.Second))
		}
		if got := len(w.whole["unlucky"]) - from; got < 9 {
			t.Fatalf("%d of 10 served once it is cleared", got)
		}
	})
}

// Symptom: a rack that fails again and again has all that ran there held back.
// Sequence: half of the targets end at once, every four seconds, while many different requests
// run; callers send those that failed again, up to twice.
// Cause: as before.
func TestEndsOfManyTargetsHoldNobodyBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), 6, 8)
		for n := range 400 {
			for i := range 4 {
				w.send(w.routers[w.random.IntN(len(w.routers))], quarantine.Print(fmt.Sprint(n, "-", i)))
			}
			for p, ends := range w.ends { // and again
				if len(ends) <= 2 && len(w.whole[p]) == 0 && w.now.Sub(ends[len(ends)-1]) < 200*time.Millisecond {
					w.send(w.routers[w.random.IntN(len(w.routers))], p)
				}
			}
			if n%40 == 39 {
				for _, target := range w.targets[:4] {
					if target.id != "" {
						w.end(target)
					}
				}
			}
			w.play(w.now.Add(100 * time.Millisecond))
		}
		w.play(w.now.Add(time.Second))
		for _, e := range w.book.Entries() {
			require.False(t, e.Convicted(), "%s", e.Print)
		}
	})
}

// Symptom: a flood of different requests that end targets fills the keepers' log and memory,
// or pushes out what others' requests have shown.
// Sequence: one account makes a new one each second; another account has one that is held.
func TestTheBookIsBounded(t *testing.T) {
	var b quarantine.Book
	ended := []quarantine.Ended{{Target: fleet.Incarnation{ID: "a"}}, {Target: fleet.Incarnation{ID: "b"}}, {Target: fleet.Incarnation{ID: "c"}}}
	b.Put([]quarantine.Entry{{Print: "first", Account: "regina", Ended: ended}})
	held := b.Revision()
	for i := range 5000 {
		b.Put([]quarantine.Entry{{Print: quarantine.Print(fmt.Sprint(i)), Account: "flood", Ended: ended}})
	}
	require.Len(t, b.Entries(), 1024)
	_, ok := b.Entry("first")
	require.True(t, ok, "of another account")
	list, whole := b.Since(held)
	require.True(t, whole, "more has gone than is remembered")
	require.Len(t, list, 1024)
	held = b.Revision()
	b.Put([]quarantine.Entry{{Print: "4999"}})
	list, whole = b.Since(held)
	require.False(t, whole)
	require.Len(t, list, 1)
	require.Empty(t, list[0].Ended, "it is gone")
	var again quarantine.Book
	again.Load(b.Save())
	require.Equal(t, b.Entries(), again.Entries())
	require.Equal(t, b.Revision(), again.Revision())
}

// An end counts once, whoever tells of it and however often.
func TestAnEndCountsOnce(t *testing.T) {
	now := time.Unix(1e9, 0)
	one := quarantine.End{Print: "p", Account: "regina", Target: fleet.Incarnation{ID: "i-1"}}
	r := quarantine.Registry{}
	r.Load(now, nil)
	for i := range 5 {
		r.Report(now.Add(time.Duration(i)*time.Second), fmt.Sprint("r", i), quarantine.Report{Ends: []quarantine.End{one, one}})
	}
	require.Equal(t, 1, r.Ends("p"))
	named := one
	named.Print, named.Named = "n", true
	r.Report(now, "r1", quarantine.Report{Ends: []quarantine.End{named}})
	r.Report(now.Add(time.Second), "r2", quarantine.Report{Ends: []quarantine.End{named}})
	require.Equal(t, 1, r.Ends("n"), "the same, told later")
	r.Report(now.Add(4*time.Second), "r2", quarantine.Report{Ends: []quarantine.End{named}})
	require.Equal(t, 2, r.Ends("n"), "it was back")
	r.Report(now.Add(5*time.Second), "r1", quarantine.Report{Clears: []quarantine.Clear{{Print: "n", Age: 2 * time.Second}}})
	require.Equal(t, 1, r.Ends("n"), "a whole answer wipes out what was before it")
	late := named
	late.Age = 4 * time.Second
	r.Report(now.Add(6*time.Second), "r3", quarantine.Report{Ends: []quarantine.End{late}})
	require.Equal(t, 1, r.Ends("n"), "told after the answer that came after it")
}

// Symptom: a sound request is refused though targets have room, right after several ended.
// Sequence: two targets end under it; its router gets a permit for one of them, which the list
// still shows; it cannot be reached, and the permit is given back.
// Cause: the leader went by the list alone, and the router took its own permit for another's.
func TestAPermitIsForATargetThatIsThere(t *testing.T) {
	now := time.Unix(1e9, 0)
	var b quarantine.Book
	r := quarantine.Registry{Targets: func(string) []string { return []string{"x", "y", "z"} }}
	r.Load(now, nil)
	g := quarantine.Guard{Owner: "r1"}
	exchange := func() {
		m := g.Report(now)
		r.Report(now, "r1", m)
		put, _ := r.Take()
		b.Put(put)
		g.Heard(now, now, 1, r.RulingsFor(now, m, &b))
		now = now.Add(50 * time.Millisecond)
	}
	for _, id := range []string{"x", "z"} {
		target := fleet.Incarnation{ID: id}
		require.True(t, g.Cut(now, quarantine.Sight{Print: "p", Pool: "any", Target: target}))
		g.Gone(now, target)
	}
	require.Equal(t, quarantine.Wait, g.Check(now, "p").Do)
	g.Ask("p")
	exchange()
	v := g.Check(now, "p")
	require.Equal(t, quarantine.Run, v.Do)
	require.Equal(t, "y", v.Target, "the only one that is there")
	g.Begin(v, "p")
	g.Over(now, v, "p", true)
	require.Equal(t, quarantine.Wait, g.Check(now, "p").Do, "it may ask again")
	exchange()
	again := g.Check(now, "p")
	require.Equal(t, quarantine.Run, again.Do)
	require.NotEqual(t, v.Grant, again.Grant)
}

// A request's own router is told at once what it waits for, and others that it runs.
func TestOnePermitAtATime(t *testing.T) {
	now := time.Unix(1e9, 0)
	var b quarantine.Book
	r := quarantine.Registry{Targets: func(string) []string { return []string{"x", "y"} }}
	r.Load(now, nil)
	ends := func(p quarantine.Print) quarantine.Report {
		return quarantine.Report{Ends: []quarantine.End{
			{Print: p, Target: fleet.Incarnation{ID: "a" + string(p)}}, {Print: p, Target: fleet.Incarnation{ID: "b" + string(p)}},
		}}
	}
	r.Report(now, "r1", ends("p"))
	r.Report(now, "r1", ends("q"))
	r.Report(now, "r1", ends("s"))
	ask := quarantine.Report{Asks: []quarantine.Print{"p", "q", "s"}}
	r.Report(now, "r1", ask)
	r.Report(now, "r2", ask)
	put, _ := r.Take()
	b.Put(put)
	var holders, places []string
	for _, e := range b.Entries() {
		if e.Holder != "" {
			holders, places = append(holders, e.Holder), append(places, e.Target)
		}
	}
	require.Equal(t, []string{"r1", "r1"}, holders, "as many as there are targets")
	slices.Sort(places)
	require.Equal(t, []string{"x", "y"}, places, "each on a target of its own")
	one, two := quarantine.Guard{Owner: "r1"}, quarantine.Guard{Owner: "r2"}
	one.Heard(now, now, 1, r.RulingsFor(now, quarantine.Report{}, &b))
	two.Heard(now, now, 1, r.RulingsFor(now, quarantine.Report{}, &b))
	v := one.Check(now, "p")
	require.Equal(t, quarantine.Run, v.Do)
	require.NotEmpty(t, v.Target)
	require.Equal(t, quarantine.Hold, two.Check(now, "p").Do)
	one.Begin(v, "p")
	require.Equal(t, quarantine.Hold, one.Check(now, "p").Do, "one permit is one run")
	one.Over(now, v, "p", false)
	r.Report(now, "r1", one.Report(now))
	put, _ = r.Take()
	b.Put(put)
	two.Heard(now, now, 1, r.RulingsFor(now, quarantine.Report{Held: 0}, &b))
	require.Equal(t, quarantine.Wait, two.Check(now, "p").Do, "it may ask again")
}
