package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"laburnumfall/internal/quarantine"
)

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
			w.send(w.routers[w.random.IntN(len(w.routers))], quarantine.Fingerprint(fmt.Sprint("sound", n)))
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
	return len(r.guard.Report(w.now).Terminations) > 0 || len(r.guard.UnconfirmedTargets(w.now)) > 0
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
				w.send(w.routers[w.random.IntN(len(w.routers))], quarantine.Fingerprint(fmt.Sprint(n, "-", i)))
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
			require.False(t, e.Quarantined(), "%s", e.Fingerprint)
		}
	})
}
