package dispatch_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/dispatch"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/statestore"
)

func size(v any) int {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return len(data)
}

// tally counts what callers were told over many cases.
type tally struct {
	requests, ran, unrun, unknown, silent int
}

func (t *tally) add(o tally) {
	t.requests += o.requests
	t.ran += o.ran
	t.unrun += o.unrun
	t.unknown += o.unknown
	t.silent += o.silent
}

// Symptom: a demand notice goes out twice, or a caller told "unrun" finds that
// it ran after all.
// Sequence: keys are sent two or three times, at the same time or later, by
// the same or other routers, while a random fault strikes each step: claims
// and their answers are lost, targets refuse or break off, routers are killed,
// frozen past their lease and woken, cut off, the leader changes, callers go.
// Cause: a run without a claim, a claim granted twice, an answer given before
// the fate was certain.
func TestAtMostOnceOverTenThousandCases(t *testing.T) {
	cases := 10_000
	if testing.Short() {
		cases = 500
	}
	const parts = 8
	sums := make([]tally, parts)
	t.Run("cases", func(t *testing.T) {
		for part := range parts {
			t.Run(fmt.Sprint(part), func(t *testing.T) {
				t.Parallel()
				for seed := part; seed < cases; seed += parts {
					runOnceCase(t, uint64(seed), &sums[part])
				}
			})
		}
	})
	var sum tally
	for _, s := range sums {
		sum.add(s)
	}
	t.Logf("%d requests: ran %d, unrun %d, unknown %d (%.1f%%), no answer since the router died %d",
		sum.requests, sum.ran, sum.unrun, sum.unknown, 100*float64(sum.unknown)/float64(sum.requests), sum.silent)
	require.Positive(t, sum.ran)
	require.Positive(t, sum.unrun)
	require.Positive(t, sum.unknown)
}

func runOnceCase(t *testing.T, seed uint64, sum *tally) {
	w := newWorld(seed, configOf([]float64{1, 2}, []int{1, 2}), 3)
	w.claimed = func(w *world) claimFault {
		return claimFault{lostBefore: w.random.IntN(12) == 0, lostAfter: w.random.IntN(12) == 0}
	}
	for _, e := range w.targets {
		e.refuse = 0.1 * w.random.Float64()
		e.breaks = 0.2 * w.random.Float64()
	}
	w.pass(time.Second)
	const keys = 8
	for i := range keys {
		w.planKey(i)
	}
	for range 3 {
		w.at(time.Duration(w.random.IntN(4000))*time.Millisecond, w.strike)
	}
	w.pass(14 * time.Second)
	checkOnce(t, seed, w, sum)
}

// planKey has a key sent up to three times. Some keys may be repeated.
func (w *world) planKey(i int) {
	account := fmt.Sprintf("a%02d", w.random.IntN(2))
	claim := statestore.HashKey(account, fmt.Sprint(i))
	if i%4 == 3 {
		claim = ""
	}
	first := time.Duration(w.random.IntN(3000)) * time.Millisecond
	for range 1 + w.random.IntN(3) {
		wait := first + time.Duration(w.random.IntN(2)*w.random.IntN(4000))*time.Millisecond
		w.at(wait, func() {
			r := &request{took: time.Duration(1+w.random.IntN(900)) * time.Millisecond, cost: 1}
			r.Request = dispatch.Request{Account: account, Event: "e", ClaimKey: claim}
			if w.random.IntN(5) == 0 {
				r.Deadline = w.now.Add(time.Duration(w.random.IntN(1500)) * time.Millisecond)
			}
			w.arrive(w.routers[w.random.IntN(len(w.routers))], r)
			if w.random.IntN(6) == 0 {
				w.at(time.Duration(w.random.IntN(800))*time.Millisecond, func() { w.abandon(r) })
			}
		})
	}
}

// strike is one fault.
func (w *world) strike() {
	n := w.routers[w.random.IntN(len(w.routers))]
	switch w.random.IntN(6) {
	case 0:
		w.kill(n)
	case 1:
		n.frozen = true
		w.at(time.Duration(w.random.IntN(5000))*time.Millisecond, func() { w.thaw(n) })
	case 2:
		n.cut = true
		w.at(time.Duration(w.random.IntN(5000))*time.Millisecond, func() { n.cut = false })
	case 3:
		w.lead()
	case 4:
		e := w.targets[fmt.Sprintf("t%02d", w.random.IntN(2))]
		e.dead = true
		w.at(time.Second, func() { e.dead = false })
	default:
		w.input(n, n.scheduler, func(s *dispatch.Scheduler) { s.Stop(w.now) })
	}
}

func checkOnce(t *testing.T, seed uint64, w *world, sum *tally) {
	runs := make(map[string]int)
	for _, r := range w.requests {
		if r.ClaimKey != "" {
			runs[r.ClaimKey] += r.runs
		}
		require.LessOrEqual(t, r.answers, 1, "seed %d: request %d was answered twice", seed, r.ID)
		sum.requests++
		switch {
		case r.refused == nil && r.answers == 0:
			sum.silent++
		case r.refused == nil && r.whole:
			sum.ran++
		case r.refused == nil:
			sum.unknown++ // the caller's connection broke
		case r.refused.Outcome == fleet.OutcomeNotRun:
			sum.unrun++
			require.Zero(t, r.runs, "seed %d: request %d was told unrun (%v) and ran", seed, r.ID, r.refused.Err)
		case r.refused.Outcome == fleet.OutcomeRan:
			sum.ran++
		default:
			sum.unknown++
		}
	}
	for claim, n := range runs {
		require.LessOrEqual(t, n, 1, "seed %d: key %s ran %d times", seed, claim, n)
	}
}
