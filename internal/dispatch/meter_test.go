package dispatch_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"laburnumfall/internal/dispatch"
)

func (s *spread) add(both bool, difference float64) {
	if !both {
		s.both = false
		return
	}
	if !s.both {
		s.both, s.low, s.high = true, difference, difference
	}
	s.low, s.high = min(s.low, difference), max(s.high, difference)
	s.widest = max(s.widest, s.high-s.low)
}

func newMeter(w *world, l load, seed uint64, send func(int, *request)) *meter {
	return &meter{world: w, load: l, random: rand.New(rand.NewPCG(seed, 99)), send: send}
}

func (m *meter) run() fairness {
	start := m.world.now
	for a := range fairAccounts {
		m.feed(a)
	}
	m.sample()
	m.world.pass(time.Duration(m.load.seconds) * time.Second)
	return m.result(m.world.now.Sub(start))
}

func accountIndex(name string) int {
	return int(name[1]-'0')*10 + int(name[2]-'0')
}

// feed sends an account's requests at random times.
func (m *meter) feed(account int) {
	rate := m.load.rate(m.world, account)
	if rate <= 0 {
		m.world.at(50*time.Millisecond, func() { m.feed(account) })
		return
	}
	gap := -math.Log(1-m.random.Float64()) / rate
	m.world.at(time.Duration(gap*float64(time.Second)), func() {
		if m.waiting[account] < 400 { // callers go elsewhere
			m.sendOne(account)
		}
		m.feed(account)
	})
}

func (m *meter) sendOne(account int) {
	took := time.Duration((0.5 + m.random.Float64()) * float64(meanTime))
	if m.load.heavy {
		took = time.Duration(min(math.Pow(1-m.random.Float64(), -1/1.5), 25) * float64(meanTime) / 3)
	}
	r := &request{took: took, cost: took.Seconds() * unitsPerSlot, arrived: m.world.now}
	m.maxCost = max(m.maxCost, r.cost)
	r.Request = dispatch.Request{Account: fmt.Sprintf("a%02d", account), Event: "e"}
	if m.load.hint != nil {
		r.CostHint = m.load.hint(m.random, r.cost)
	}
	m.waiting[account]++
	m.live = append(m.live, r)
	m.send(m.load.route(m.random, account), r)
}

const (
	sampleEvery = 50 * time.Millisecond
	// loopTime is how long a request waits before its account counts as
	// backlogged: a report, a division and the way of a grant.
	loopTime = 500 * time.Millisecond
)

// sample looks at the fleet as it is.
func (m *meter) sample() {
	now := m.world.now
	var waits, running [fairAccounts]int
	var backlogged [fairAccounts]bool
	var service [fairAccounts]float64
	kept := m.live[:0]
	for _, r := range m.live {
		account := accountIndex(r.Account)
		if !r.ended.IsZero() {
			m.settle(account, r)
			continue
		}
		kept = append(kept, r)
		if r.started.IsZero() {
			waits[account]++
			backlogged[account] = backlogged[account] || now.Sub(r.arrived) > loopTime
			continue
		}
		running[account]++
		service[account] += min(now.Sub(r.started), r.took).Seconds() * unitsPerSlot
	}
	m.live = kept
	for a := range fairAccounts {
		service[a] += m.done[a]
	}
	m.compare(waits, running, backlogged, service)
	m.world.at(sampleEvery, m.sample)
}

// settle counts a request that has ended, whole or not.
func (m *meter) settle(account int, r *request) {
	m.waiting[account]--
	if r.started.IsZero() {
		return
	}
	m.done[account] += min(r.ended.Sub(r.started), r.took).Seconds() * unitsPerSlot
	if account == fairAccounts-1 {
		m.waits = append(m.waits, r.started.Sub(r.arrived))
	}
}

func (m *meter) compare(waits, running [fairAccounts]int, backlogged [fairAccounts]bool, service [fairAccounts]float64) {
	for a := range fairAccounts {
		for b := range a {
			both := backlogged[a] && backlogged[b]
			m.pairs[a][b].add(both, service[a]/shares()[a]-service[b]/shares()[b])
		}
	}
	busy, demand := 0, 0
	for a := range fairAccounts {
		busy += running[a]
		demand += running[a] + waits[a]
	}
	m.busy += float64(busy)
	m.could += float64(min(m.load.slots(), demand))
}

func (m *meter) result(span time.Duration) fairness {
	f := fairness{utilisation: m.busy / m.could, maxCost: m.maxCost}
	for a := range fairAccounts {
		for b := range a {
			f.gap = max(f.gap, m.pairs[a][b].widest)
		}
	}
	slices.Sort(m.waits)
	if n := len(m.waits); n > 0 {
		f.smallest = m.waits[n*99/100]
	}
	f.bytes = float64(m.world.bytes) / span.Seconds() / fairRouters
	for _, e := range m.world.targets {
		f.overfull = max(f.overfull, e.most-e.Slots)
	}
	return f
}
