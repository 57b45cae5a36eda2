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

func jsonSize(v any) int {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return len(data)
}

// outcomeCounts counts the outcomes reported to clients.
type outcomeCounts struct {
	requests, ran, notRun, unknown, unanswered int
}

func (c *outcomeCounts) add(other outcomeCounts) {
	c.requests += other.requests
	c.ran += other.ran
	c.notRun += other.notRun
	c.unknown += other.unknown
	c.unanswered += other.unanswered
}

// Guards against a non-repeatable request that runs twice, and against the outcome "not run" for
// one that ran: after a run without a claim, a claim granted twice, or an answer before the run
// state was certain. Keys are resent through several routers while messages are lost, targets fail,
// routers restart, freeze, stop or are partitioned, leaders change, and clients disconnect.
func TestAtMostOnceUnderRandomFaults(t *testing.T) {
	cases := 10_000
	if testing.Short() {
		cases = 500
	}
	const parts = 8
	counts := make([]outcomeCounts, parts)
	t.Run("cases", func(t *testing.T) {
		for part := range parts {
			t.Run(fmt.Sprint(part), func(t *testing.T) {
				t.Parallel()
				for seed := part; seed < cases; seed += parts {
					runRandomCase(t, uint64(seed), &counts[part])
				}
			})
		}
	})
	var total outcomeCounts
	for _, count := range counts {
		total.add(count)
	}
	t.Logf("%d requests: ran %d, not run %d, unknown %d (%.1f%%), unanswered because the router restarted %d",
		total.requests, total.ran, total.notRun, total.unknown, 100*float64(total.unknown)/float64(total.requests), total.unanswered)
	require.Positive(t, total.ran)
	require.Positive(t, total.notRun)
	require.Positive(t, total.unknown)
}

func runRandomCase(t *testing.T, seed uint64, counts *outcomeCounts) {
	sim := newSimulation(seed, newConfig([]float64{1, 2}, []int{1, 2}), 3)
	sim.nextClaimFault = func(sim *simulation) claimFault {
		return claimFault{requestLost: sim.random.IntN(12) == 0, answerLost: sim.random.IntN(12) == 0}
	}
	for _, target := range sim.targets {
		target.refuseRate = 0.1 * sim.random.Float64()
		target.abortRate = 0.2 * sim.random.Float64()
	}
	sim.advance(time.Second)
	const keys = 8
	for i := range keys {
		sim.scheduleKey(i)
	}
	for range 3 {
		sim.after(time.Duration(sim.random.IntN(4000))*time.Millisecond, sim.injectFault)
	}
	sim.advance(14 * time.Second)
	checkAtMostOnce(t, seed, sim, counts)
}

// scheduleKey sends a key up to three times. One key in four may be repeated.
func (sim *simulation) scheduleKey(index int) {
	account := fmt.Sprintf("a%02d", sim.random.IntN(2))
	claimKey := statestore.HashKey(account, fmt.Sprint(index))
	if index%4 == 3 {
		claimKey = ""
	}
	firstSend := time.Duration(sim.random.IntN(3000)) * time.Millisecond
	for range 1 + sim.random.IntN(3) {
		delay := firstSend + time.Duration(sim.random.IntN(2)*sim.random.IntN(4000))*time.Millisecond
		sim.after(delay, func() {
			request := &simRequest{duration: time.Duration(1+sim.random.IntN(900)) * time.Millisecond, cost: 1}
			request.Request = dispatch.Request{Account: account, Event: "e", ClaimKey: claimKey}
			if sim.random.IntN(5) == 0 {
				request.Deadline = sim.now.Add(time.Duration(sim.random.IntN(1500)) * time.Millisecond)
			}
			sim.submit(sim.routers[sim.random.IntN(len(sim.routers))], request)
			if sim.random.IntN(6) == 0 {
				sim.after(time.Duration(sim.random.IntN(800))*time.Millisecond, func() { sim.disconnect(request) })
			}
		})
	}
}

// injectFault injects one random fault.
func (sim *simulation) injectFault() {
	router := sim.routers[sim.random.IntN(len(sim.routers))]
	switch sim.random.IntN(6) {
	case 0:
		sim.restartRouter(router)
	case 1:
		router.frozen = true
		sim.after(time.Duration(sim.random.IntN(5000))*time.Millisecond, func() { sim.unfreeze(router) })
	case 2:
		router.partitioned = true
		sim.after(time.Duration(sim.random.IntN(5000))*time.Millisecond, func() { router.partitioned = false })
	case 3:
		sim.startTerm()
	case 4:
		target := sim.targets[fmt.Sprintf("t%02d", sim.random.IntN(2))]
		target.dead = true
		sim.after(time.Second, func() { target.dead = false })
	default:
		sim.deliver(router, router.scheduler, func(s *dispatch.Scheduler) { s.Stop(sim.now) })
	}
}

func checkAtMostOnce(t *testing.T, seed uint64, sim *simulation, counts *outcomeCounts) {
	runs := make(map[string]int)
	for _, request := range sim.requests {
		if request.ClaimKey != "" {
			runs[request.ClaimKey] += request.runs
		}
		require.LessOrEqual(t, request.answers, 1, "seed %d: request %d was answered twice", seed, request.ID)
		counts.requests++
		switch {
		case request.refused == nil && request.answers == 0:
			counts.unanswered++
		case request.refused == nil && request.complete:
			counts.ran++
		case request.refused == nil:
			counts.unknown++ // the client's connection broke
		case request.refused.Outcome == fleet.OutcomeNotRun:
			counts.notRun++
			require.Zero(t, request.runs, "seed %d: request %d was reported as not run (%v) and ran", seed, request.ID, request.refused.Err)
		case request.refused.Outcome == fleet.OutcomeRan:
			counts.ran++
		default:
			counts.unknown++
		}
	}
	for claimKey, runCount := range runs {
		require.LessOrEqual(t, runCount, 1, "seed %d: key %s ran %d times", seed, claimKey, runCount)
	}
}
