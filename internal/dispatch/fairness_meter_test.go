package dispatch_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"laburnumfall/internal/dispatch"
)

func (s *gapRange) add(backlogged bool, difference float64) {
	if !backlogged {
		s.tracking = false
		return
	}
	if !s.tracking {
		s.tracking, s.low, s.high = true, difference, difference
	}
	s.low, s.high = min(s.low, difference), max(s.high, difference)
	s.widest = max(s.widest, s.high-s.low)
}

func newMeter(sim *simulation, s scenario, seed uint64, send func(int, *simRequest)) *fairnessMeter {
	return &fairnessMeter{sim: sim, scenario: s, random: rand.New(rand.NewPCG(seed, 99)), send: send}
}

func (m *fairnessMeter) run() fairnessResult {
	start := m.sim.now
	for account := range accountCount {
		m.scheduleArrivals(account)
	}
	m.sample()
	m.sim.advance(time.Duration(m.scenario.seconds) * time.Second)
	return m.result(m.sim.now.Sub(start))
}

func accountIndex(name string) int {
	return int(name[1]-'0')*10 + int(name[2]-'0')
}

// scheduleArrivals sends an account's requests as a Poisson process.
func (m *fairnessMeter) scheduleArrivals(account int) {
	rate := m.scenario.rate(m.sim, account)
	if rate <= 0 {
		m.sim.after(50*time.Millisecond, func() { m.scheduleArrivals(account) })
		return
	}
	seconds := -math.Log(1-m.random.Float64()) / rate
	m.sim.after(time.Duration(seconds*float64(time.Second)), func() {
		if m.waiting[account] < 400 { // clients give up on a long queue
			m.sendRequest(account)
		}
		m.scheduleArrivals(account)
	})
}

func (m *fairnessMeter) sendRequest(account int) {
	duration := time.Duration((0.5 + m.random.Float64()) * float64(meanDuration))
	if m.scenario.heavyTail {
		duration = time.Duration(min(math.Pow(1-m.random.Float64(), -1/1.5), 25) * float64(meanDuration) / 3)
	}
	request := &simRequest{duration: duration, cost: duration.Seconds() * unitsPerSlotSecond, arrived: m.sim.now}
	m.maxCost = max(m.maxCost, request.cost)
	request.Request = dispatch.Request{Account: fmt.Sprintf("a%02d", account), Event: "e"}
	if m.scenario.hint != nil {
		request.CostHint = m.scenario.hint(m.random, request.cost)
	}
	m.waiting[account]++
	m.unfinished = append(m.unfinished, request)
	m.send(m.scenario.route(m.random, account), request)
}

const (
	sampleInterval = 50 * time.Millisecond
	// backloggedAfter is how long a request waits before its account counts as backlogged: the time
	// for a report, a division and the delivery of a grant.
	backloggedAfter = 500 * time.Millisecond
)

// sample measures the current state and schedules the next sample.
func (m *fairnessMeter) sample() {
	now := m.sim.now
	var waiting, running [accountCount]int
	var backlogged [accountCount]bool
	var service [accountCount]float64
	kept := m.unfinished[:0]
	for _, request := range m.unfinished {
		account := accountIndex(request.Account)
		if !request.ended.IsZero() {
			m.recordEnded(account, request)
			continue
		}
		kept = append(kept, request)
		if request.started.IsZero() {
			waiting[account]++
			backlogged[account] = backlogged[account] || now.Sub(request.arrived) > backloggedAfter
			continue
		}
		running[account]++
		service[account] += min(now.Sub(request.started), request.duration).Seconds() * unitsPerSlotSecond
	}
	m.unfinished = kept
	for a := range accountCount {
		service[a] += m.service[a]
	}
	m.compare(waiting, running, backlogged, service)
	m.sim.after(sampleInterval, m.sample)
}

// recordEnded counts the service of a request that has ended, complete or not.
func (m *fairnessMeter) recordEnded(account int, request *simRequest) {
	m.waiting[account]--
	if request.started.IsZero() {
		return
	}
	m.service[account] += min(request.ended.Sub(request.started), request.duration).Seconds() * unitsPerSlotSecond
	if account == accountCount-1 {
		m.smallestWaits = append(m.smallestWaits, request.started.Sub(request.arrived))
	}
}

func (m *fairnessMeter) compare(waiting, running [accountCount]int, backlogged [accountCount]bool, service [accountCount]float64) {
	for a := range accountCount {
		for b := range a {
			both := backlogged[a] && backlogged[b]
			m.gaps[a][b].add(both, service[a]/accountShares()[a]-service[b]/accountShares()[b])
		}
	}
	busy, demand := 0, 0
	for a := range accountCount {
		busy += running[a]
		demand += running[a] + waiting[a]
	}
	m.busySlots += float64(busy)
	m.usableSlots += float64(min(m.scenario.slots(), demand))
}

func (m *fairnessMeter) result(elapsed time.Duration) fairnessResult {
	result := fairnessResult{utilisation: m.busySlots / m.usableSlots, maxCost: m.maxCost}
	for a := range accountCount {
		for b := range a {
			result.gap = max(result.gap, m.gaps[a][b].widest)
		}
	}
	slices.Sort(m.smallestWaits)
	if n := len(m.smallestWaits); n > 0 {
		result.smallestWaitP99 = m.smallestWaits[n*99/100]
	}
	result.controlBytesPerSecond = float64(m.sim.controlBytes) / elapsed.Seconds() / routerCount
	for _, target := range m.sim.targets {
		result.excessRunning = max(result.excessRunning, target.maxRunning-target.Slots)
	}
	return result
}
