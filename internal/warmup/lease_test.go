package warmup_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"laburnumfall/internal/warmup"
)

const (
	step   = 20 * time.Millisecond
	period = 140 * time.Millisecond // between two renewals of a router
	cold   = 3 * time.Second
	rate   = 8.4 // requests a second of a cold target
	ratio  = 1.5
	slack  = 5.0
)

var begin = time.Unix(1e9, 0)

// router is one that sends to each cold target whatever it may.
type router struct {
	name    string
	run     uint64
	budget  warmup.Budget
	bound   warmup.RateLimit
	meters  []warmup.Meter
	next    time.Time
	cut     bool
	standby time.Time // until when it stands still
}

func (r *router) start(run uint64, targets int) {
	r.budget = warmup.Budget{Ratio: ratio, Slack: slack}
	r.bound = r.budget.RateLimit(cold, rate)
	r.meters = make([]warmup.Meter, targets)
	r.run, r.next = run, time.Time{}
}

// answer is a leader's, on its way to a router.
type answer struct {
	to    *router
	run   uint64
	asked time.Time
	at    time.Time
	seat  warmup.Lease
}

// world is routers, the leaders that follow each other, and cold targets that all routers
// would send to all the time.
type world struct {
	t       require.TestingT
	now     time.Time
	runs    uint64
	routers []*router
	leader  warmup.LeaseTable
	wire    []answer
	sent    [][]time.Time // by target
}

func newWorld(t require.TestingT, routers, targets int) *world {
	w := &world{t: t, now: begin, leader: warmup.LeaseTable{LeaderSince: begin}, sent: make([][]time.Time, targets)}
	for i := range routers {
		w.add(i)
	}
	return w
}

func (w *world) add(i int) {
	r := &router{name: fmt.Sprint("r", i)}
	w.runs++
	r.start(w.runs, len(w.sent))
	w.routers = append(w.routers, r)
}

func (w *world) pass(span time.Duration, lose func() bool) {
	for end := w.now.Add(span); w.now.Before(end); w.now = w.now.Add(step) {
		w.hear()
		for _, r := range w.routers {
			if w.now.Before(r.standby) {
				continue
			}
			if !w.now.Before(r.next) {
				r.next = w.now.Add(period)
				w.ask(r, lose)
			}
			w.send(r)
		}
	}
}

func (w *world) ask(r *router, lose func() bool) {
	if r.cut || lose() {
		return
	}
	seat := w.leader.Renew(w.now, r.name, r.run, r.budget.CurrentLease(w.now))
	if !lose() {
		w.wire = append(w.wire, answer{to: r, run: r.run, asked: w.now, at: w.now.Add(step), seat: seat})
	}
}

func (w *world) hear() {
	w.wire = slices.DeleteFunc(w.wire, func(a answer) bool {
		if a.at.After(w.now) || w.now.Before(a.to.standby) {
			return false
		}
		if a.to.run == a.run {
			a.to.budget.SetLease(a.asked, a.seat)
		}
		return true
	})
}

func (w *world) send(r *router) {
	for target := range w.sent {
		part := r.budget.Allowance(w.now, uint64(target)*0x9e3779b97f4a7c15, r.bound)
		for r.meters[target].Allows(w.now, part) {
			r.meters[target].RecordSend(w.now)
			w.sent[target] = append(w.sent[target], w.now)
		}
	}
}

// most returns the most requests that a target got in any second.
func most(sent []time.Time) int {
	most, from := 0, 0
	for i, at := range sent {
		for at.Sub(sent[from]) >= time.Second {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

func (w *world) requireBound() {
	bound := w.routers[0].bound.PerSecond
	for target, sent := range w.sent {
		require.LessOrEqual(w.t, float64(most(sent)), bound, fmt.Sprint("target ", target))
	}
}

func never() bool { return false }

// Guards against a cold target that ends since every router sends it a few requests, whatever
// is lost, and whoever restarts, is cut off or stands still.
func TestNoSecondHoldsMoreThanTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.IntRange(1, 40).Draw(t, "routers"), 3)
		lossy := rapid.Bool().Draw(t, "lossy")
		draws := 0
		lose := func() bool {
			draws++
			return lossy && draws%5 == 0
		}
		for range rapid.IntRange(1, 25).Draw(t, "events") {
			r := w.routers[rapid.IntRange(0, len(w.routers)-1).Draw(t, "router")]
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0:
				w.runs++
				r.start(w.runs, len(w.sent))
			case 1:
				r.cut = !r.cut
			case 2:
				r.standby = w.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "still")) * time.Millisecond)
			case 3:
				w.leader = warmup.LeaseTable{LeaderSince: w.now}
			case 4:
				for i := range rapid.IntRange(1, 30).Draw(t, "more") {
					if len(w.routers) < 80 {
						w.add(1000*len(w.routers) + i)
					}
				}
			case 5: // a router comes back under the name of one that stands still
				r.standby = w.now.Add(4 * time.Second)
				w.add(0)
				w.routers[len(w.routers)-1].name = r.name
			case 6: // the way to the leader takes long
				for i := range w.wire {
					w.wire[i].at = w.now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "late")) * time.Millisecond)
				}
			}
			w.pass(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause"))*time.Millisecond, lose)
		}
		w.pass(8*time.Second, never)
		w.requireBound()
	})
}

// Guards against cold targets that idle while work waits for them.
func TestMostOfTheBoundIsUsed(t *testing.T) {
	const used = 0.8
	for _, routers := range []int{1, 8, 16, 56, 86, 291} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			const targets, span = 20, 11 * time.Second
			w := newWorld(t, routers, targets)
			w.pass(10*time.Second, never)
			from, sum := w.now, 0
			w.pass(span, never)
			w.requireBound()
			for _, sent := range w.sent {
				sum += len(slices.DeleteFunc(sent, func(at time.Time) bool { return at.Before(from) }))
			}
			require.GreaterOrEqual(t, float64(sum), used*w.routers[0].bound.PerSecond*targets*span.Seconds())
		})
	}
}

// Guards against decisions that make garbage: one is taken for every target of a pool, for
// every request.
func TestADecisionTakesNoMemory(t *testing.T) {
	b := warmup.Budget{Ratio: ratio, Slack: slack}
	b.SetLease(begin, warmup.Lease{Number: 3, Total: 8, Ready: true})
	bound := b.RateLimit(cold, rate)
	var m warmup.Meter
	m.RecordSend(begin)
	require.Zero(t, testing.AllocsPerRun(100, func() {
		if m.Allows(begin, b.Allowance(begin, 7, bound)) {
			m.RecordSend(begin)
		}
	}))
}

func BenchmarkPart(b *testing.B) {
	budget := warmup.Budget{Ratio: ratio, Slack: slack}
	budget.SetLease(begin, warmup.Lease{Number: 3, Total: 8, Ready: true})
	bound := budget.RateLimit(cold, rate)
	var m warmup.Meter
	m.RecordSend(begin)
	b.ReportAllocs()
	for b.Loop() {
		m.Allows(begin, budget.Allowance(begin, 7, bound))
	}
}
