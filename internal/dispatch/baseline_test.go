package dispatch_test

import (
	"math"
)

// baseline is a simpler scheduling policy that gets the same arrivals, without network delays. Each
// of its routers has a fixed part of the slots.
type baseline struct {
	sim           *simulation
	queues        []map[int][]*simRequest // by router and account
	freeSlots     []int
	service       [accountCount]float64 // charged when a request starts, with its true cost
	position      []int
	deficit       [][accountCount]float64
	chooseAccount func(b *baseline, router int) int
}

// The baseline policies of the design document on fair shares.
const (
	singleQueue = "clairvoyant single queue"
	roundRobin  = "round robin per router"
	noPolicy    = "no policy"
)

func runBaseline(s scenario, seed uint64, policy string) fairnessResult {
	sim := newSimulation(seed, newConfig(accountShares(), equalSlots(s.targets, slotsPerTarget)), 0)
	routers := routerCount
	b := &baseline{sim: sim}
	switch policy {
	case singleQueue:
		routers, b.chooseAccount = 1, (*baseline).leastServed
	case roundRobin:
		b.chooseAccount = (*baseline).deficitRoundRobin
	default:
		b.chooseAccount = (*baseline).oldestRequest
	}
	for i := range routers {
		b.queues = append(b.queues, map[int][]*simRequest{})
		slots := s.slots() / routers
		if i < s.slots()%routers {
			slots++
		}
		b.freeSlots = append(b.freeSlots, slots)
	}
	b.position = make([]int, routers)
	b.deficit = make([][accountCount]float64, routers)
	meter := newMeter(sim, s, seed, func(router int, request *simRequest) {
		router %= routers
		account := accountIndex(request.Account)
		if len(b.queues[router][account]) == 0 {
			b.raiseToLeastServed(router, account)
		}
		b.queues[router][account] = append(b.queues[router][account], request)
		b.startRequests(router)
	})
	return meter.run()
}

// raiseToLeastServed raises an account that starts to wait to the least served waiting account, so
// that idle time earns no credit.
func (b *baseline) raiseToLeastServed(router, account int) {
	least := math.Inf(1)
	for other, queue := range b.queues[router] {
		if len(queue) > 0 {
			least = min(least, b.service[other]/accountShares()[other])
		}
	}
	if !math.IsInf(least, 1) {
		b.service[account] = max(b.service[account], least*accountShares()[account])
	}
}

func (b *baseline) startRequests(router int) {
	for b.freeSlots[router] > 0 {
		account := b.chooseAccount(b, router)
		if account < 0 {
			return
		}
		queue := b.queues[router][account]
		request := queue[0]
		b.queues[router][account] = queue[1:]
		b.freeSlots[router]--
		b.service[account] += request.cost
		request.started = b.sim.now
		b.sim.after(request.duration, func() {
			request.ended = b.sim.now
			b.freeSlots[router]++
			b.startRequests(router)
		})
	}
}

func (b *baseline) leastServed(router int) int {
	best, least := -1, math.Inf(1)
	for account := range accountCount {
		if level := b.service[account] / accountShares()[account]; len(b.queues[router][account]) > 0 && level < least {
			best, least = account, level
		}
	}
	return best
}

// deficitRoundRobin chooses an account by deficit round robin with quanta proportional to the
// shares.
func (b *baseline) deficitRoundRobin(router int) int {
	const quantum = 10
	backlogged := false
	for _, queue := range b.queues[router] {
		backlogged = backlogged || len(queue) > 0
	}
	for backlogged {
		account := b.position[router] % accountCount
		queue := b.queues[router][account]
		if len(queue) > 0 && b.deficit[router][account] >= queue[0].cost {
			b.deficit[router][account] -= queue[0].cost
			return account
		}
		if len(queue) == 0 {
			b.deficit[router][account] = 0
		}
		b.position[router]++
		next := b.position[router] % accountCount
		if len(b.queues[router][next]) > 0 {
			b.deficit[router][next] += quantum * accountShares()[next]
		}
	}
	return -1
}

func (b *baseline) oldestRequest(router int) int {
	best := -1
	for account, queue := range b.queues[router] {
		if len(queue) > 0 && (best < 0 || queue[0].arrived.Before(b.queues[router][best][0].arrived) || queue[0].arrived.Equal(b.queues[router][best][0].arrived) && account < best) {
			best = account
		}
	}
	return best
}
