package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"laburnumfall/internal/quarantine"
)

// countAfter returns how many of the times are after one.
func countAfter(times []time.Time, after time.Time) int {
	count := 0
	for _, at := range times {
		if at.After(after) {
			count++
		}
	}
	return count
}

const (
	// maxRuns is how many runs operators allow after the third termination, not counting those
	// within settleTime, after which all routers can have received the restriction.
	maxRuns    = 3
	settleTime = 3 * time.Second
	// quarantineThreshold is how many terminations must have been seen.
	quarantineThreshold = 3
)

// Guards against a poison request that terminates one target after the other. It is repeated
// through all routers, beside harmless requests, while messages are lost, duplicated and
// delayed, leaders change, and routers restart, so that state held by one process only is lost.
func TestPoisonRequestRunsAreBounded(t *testing.T) {
	const allowed = 3
	requireRunsAreBounded(t, "bad", allowed)
}

// Guards against the same for a part of prompts, which is quarantined by fewer signs.
func TestPoisonPartRunsAreBounded(t *testing.T) {
	const allowed = 5
	requireRunsAreBounded(t, "part/p/bad", allowed)
}

// requireRunsAreBounded checks that few runs follow the termination that is the last one allowed.
func requireRunsAreBounded(t *testing.T, poison quarantine.Fingerprint, allowed int) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 9).Draw(t, "routers"), rapid.IntRange(2, 8).Draw(t, "targets"))
		sim.lossRate = rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(t, "loss")
		sim.duplicateRate = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "twice")
		sim.maxDelay = rapid.SampledFrom([]time.Duration{0, 50 * time.Millisecond, 200 * time.Millisecond}).Draw(t, "late")
		pause := rapid.SampledFrom([]time.Duration{50 * time.Millisecond, 300 * time.Millisecond, time.Second}).Draw(t, "pause")
		restarts := rapid.Bool().Draw(t, "restarts")
		sim.poison[poison] = true
		start := sim.now
		for round, end := 0, sim.now.Add(2*time.Minute); sim.now.Before(end); round++ {
			sim.send(sim.routers[sim.random.IntN(len(sim.routers))], poison)
			sim.send(sim.routers[sim.random.IntN(len(sim.routers))], quarantine.Fingerprint(fmt.Sprint("sound", round)))
			if restarts && sim.random.IntN(40) == 0 {
				sim.startTerm()
			}
			if router := sim.routers[sim.random.IntN(len(sim.routers))]; restarts && sim.random.IntN(40) == 0 && !sim.hasUnreportedState(router) {
				sim.restartRouter(router)
			}
			sim.advance(sim.now.Add(pause))
		}
		if len(sim.terminations[poison]) < quarantineThreshold {
			t.Fatalf("only %d terminations", len(sim.terminations[poison]))
		}
		if len(sim.terminations[poison]) < allowed {
			return
		}
		last := sim.terminations[poison][allowed-1]
		if runs := countAfter(sim.runs[poison], last.Add(settleTime)); runs > maxRuns {
			t.Fatalf("%d runs after %v; terminations: %v", runs, last.Sub(start), sim.offsets(start, sim.terminations[poison]))
		}
	})
}

// hasUnreportedState reports whether a router runs requests or has unreported terminations,
// which a restart would lose.
func (s *simulation) hasUnreportedState(router *router) bool {
	for _, target := range s.targets {
		for execution := range target.running {
			if execution.router == router {
				return true
			}
		}
	}
	report := router.guard.Report(s.now)
	return len(report.Terminations)+len(report.PartTerminations) > 0 || len(router.guard.UnconfirmedTargets(s.now)) > 0
}

func (s *simulation) offsets(start time.Time, times []time.Time) []time.Duration {
	var offsets []time.Duration
	for _, at := range times {
		offsets = append(offsets, at.Sub(start))
	}
	return offsets
}

// Guards against a permanent quarantine of a harmless request: three targets terminate for other
// reasons while it runs, so that it is quarantined, and later runs must clear it.
func TestHarmlessRequestIsCleared(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 9).Draw(t, "routers"), rapid.IntRange(2, 8).Draw(t, "targets"))
		sim.lossRate = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "loss")
		sim.poison["unlucky"] = true
		for range 200 {
			sim.send(sim.routers[sim.random.IntN(len(sim.routers))], "unlucky")
			sim.advance(sim.now.Add(100 * time.Millisecond))
			if len(sim.terminations["unlucky"]) >= maxRuns {
				break
			}
		}
		require.GreaterOrEqual(t, len(sim.terminations["unlucky"]), maxRuns)
		sim.poison["unlucky"] = false
		harmlessSince := sim.now
		const bound = 20 * time.Second // the first trial is permitted after 10 s
		for sim.now.Before(harmlessSince.Add(bound)) {
			sim.send(sim.routers[sim.random.IntN(len(sim.routers))], "unlucky")
			sim.advance(sim.now.Add(time.Second))
		}
		if len(sim.completions["unlucky"]) == 0 {
			t.Fatalf("not served within 20 s")
		}
		before := len(sim.completions["unlucky"])
		for range 10 {
			sim.send(sim.routers[sim.random.IntN(len(sim.routers))], "unlucky")
			sim.advance(sim.now.Add(time.Second))
		}
		if completed := len(sim.completions["unlucky"]) - before; completed < 9 {
			t.Fatalf("%d of 10 served after the first completion", completed)
		}
	})
}

// Guards against a quarantine of harmless requests because of a rack that fails repeatedly: half
// of the targets terminate every four seconds while many different requests run, and callers
// retry failed requests up to twice.
func TestMassTerminationsQuarantineNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), 6, 8)
		for round := range 400 {
			for i := range 4 {
				sim.send(sim.routers[sim.random.IntN(len(sim.routers))], quarantine.Fingerprint(fmt.Sprint(round, "-", i)))
			}
			for fp, terminations := range sim.terminations { // retries
				if len(terminations) <= 2 && len(sim.completions[fp]) == 0 && sim.now.Sub(terminations[len(terminations)-1]) < 200*time.Millisecond {
					sim.send(sim.routers[sim.random.IntN(len(sim.routers))], fp)
				}
			}
			if round%40 == 39 {
				for _, target := range sim.targets[:4] {
					if target.id != "" {
						sim.terminate(target)
					}
				}
			}
			sim.advance(sim.now.Add(100 * time.Millisecond))
		}
		sim.advance(sim.now.Add(time.Second))
		for _, entry := range sim.store.Entries() {
			require.False(t, entry.Quarantined(), "%s", entry.Fingerprint)
		}
	})
}
