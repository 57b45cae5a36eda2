package throttle_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumfall/internal/throttle"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// serviceSim simulates routers that send to one service with a number of slots and a bounded
// queue. The service refuses requests while the queue is full.
type serviceSim struct {
	routers     []*throttle.Throttle // nil elements send everything
	demands     []accountDemand
	slots       int
	maxQueue    int // in requests; with more, the service refuses
	longQueue   int // in requests; with more, the service reports overload
	serviceTime time.Duration
}

// accountDemand is the rate of an account's requests per second, over all routers.
type accountDemand struct {
	name string
	rate float64
}

// accountStats counts an account's requests by outcome.
type accountStats struct {
	requested, sent, served int
	totalTime               time.Duration // sum over the served requests
}

const step = time.Millisecond

// simRequest is a request at the simulated service.
type simRequest struct {
	router    *throttle.Throttle
	stats     *accountStats
	arrivedAt time.Time
	endsAt    time.Time
}

// simulate runs the simulation for a time. It returns the statistics of each account's requests
// in the second half, when the rates have settled.
func (s *serviceSim) simulate(seed uint64, length time.Duration) map[string]*accountStats {
	rng := rand.New(rand.NewPCG(seed, 1))
	result := map[string]*accountStats{}
	for _, demand := range s.demands {
		result[demand.name] = &accountStats{}
	}
	var running, waiting []simRequest
	for now := start; now.Before(start.Add(length)); now = now.Add(step) {
		running = slices.DeleteFunc(running, func(r simRequest) bool {
			if now.Before(r.endsAt) {
				return false
			}
			r.stats.served++
			r.stats.totalTime += now.Sub(r.arrivedAt)
			if r.router != nil {
				r.router.RecordAnswer(now, len(waiting) > s.longQueue)
			}
			return true
		})
		for len(running) < s.slots && len(waiting) > 0 {
			waiting[0].endsAt = now.Add(s.serviceTime)
			running = append(running, waiting[0])
			waiting = waiting[1:]
		}
		for _, i := range rng.Perm(len(s.demands)) {
			demand := s.demands[i]
			if rng.Float64() >= demand.rate*step.Seconds() {
				continue
			}
			r := simRequest{router: s.routers[rng.IntN(len(s.routers))], stats: result[demand.name], arrivedAt: now}
			if now.Before(start.Add(length / 2)) {
				r.stats = &accountStats{}
			}
			r.stats.requested++
			if r.router != nil && !r.router.Allow(now, demand.name) {
				continue
			}
			r.stats.sent++
			if len(waiting) < s.maxQueue {
				waiting = append(waiting, r)
			} else if r.router != nil {
				r.router.RecordAnswer(now, true)
			}
		}
	}
	return result
}

func newThrottles(count int) []*throttle.Throttle {
	list := make([]*throttle.Throttle, count)
	for i := range list {
		list[i] = &throttle.Throttle{}
	}
	return list
}

// Guards against refusing a small account as often as one that floods the service: one in eight
// of its requests was served. Two of a service's three targets leave, and demand is seven times
// the remaining capacity. Without throttles, the queue is always full, and chance decides who
// gets a place.
func TestSmallAccountIsServedDuringFlood(t *testing.T) {
	for _, count := range []int{2, 6, 55} {
		for seed := range uint64(3) {
			sim := serviceSim{
				demands: []accountDemand{{"large", 800}, {"middle", 500}, {"small", 8}},
				slots:   6, maxQueue: 24, longQueue: 12, serviceTime: 30 * time.Millisecond,
			}
			const length = 60 * time.Second
			sim.routers = make([]*throttle.Throttle, count)
			unthrottled := sim.simulate(seed, length)
			sim.routers = newThrottles(count)
			throttled := sim.simulate(seed, length)
			t.Logf("%d routers: unthrottled %+v %+v, throttled %+v %+v", count, *unthrottled["large"], *unthrottled["small"], *throttled["large"], *throttled["small"])
			require.Less(t, unthrottled["small"].servedFraction(), 0.25)
			require.Greater(t, throttled["small"].servedFraction(), 0.4)
			totalServed := func(m map[string]*accountStats) int {
				return m["large"].served + m["middle"].served + m["small"].served
			}
			require.Greater(t, totalServed(throttled), totalServed(unthrottled)*98/100, "total throughput must not drop")
			require.Less(t, throttled["large"].meanTime(), unthrottled["large"].meanTime()*3/4)
			require.Greater(t, throttled["middle"].served, throttled["large"].served*8/10, "max-min fairness between the two")
		}
	}
}

func (s *accountStats) meanTime() time.Duration { return s.totalTime / time.Duration(s.served) }

func (s *accountStats) servedFraction() float64 { return float64(s.served) / float64(s.requested) }

func TestSendsEverythingWhileNothingIsRefused(t *testing.T) {
	sim := serviceSim{routers: newThrottles(6), demands: []accountDemand{{"a", 150}, {"b", 5}}, slots: 6, maxQueue: 24, longQueue: 12, serviceTime: 30 * time.Millisecond}
	for name, stats := range sim.simulate(1, 20*time.Second) {
		require.Equal(t, stats.requested, stats.sent, name)
	}
}

// Guards against sending only probes long after a service has recovered, because the rate sent
// follows the rate of answers.
func TestUsesRecoveredServiceWithinSeconds(t *testing.T) {
	const rate = 20 // requests per second
	th := &throttle.Throttle{}
	now := start
	sent := 0
	for i := range 30 * rate {
		now = now.Add(time.Second / rate)
		recovered := i >= 10*rate
		if i == 16*rate {
			sent = 0
		}
		if !th.Allow(now, "a") {
			continue
		}
		sent++
		if recovered {
			th.RecordAnswer(now, false)
		} else {
			th.RecordAnswer(now, true)
		}
	}
	require.Equal(t, 14*rate, sent, "everything is sent from 6 s after recovery")
}
