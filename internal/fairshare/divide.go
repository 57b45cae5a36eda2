package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// slotDamping is the number of mean request costs that one slot counts for when virtual times are
// equalized. Values above 1 damp the division: an account that lags by one cost gets half a slot
// more.
const slotDamping = 2

// claimant is an account that wants slots of a class.
type claimant struct {
	account            *accountState
	virtualTime        float64 // including the slots given in earlier classes
	virtualTimePerSlot float64 // by how much one slot raises the virtual time
	demand             int
	slots              int
	routers            []routerDemand
}

type routerDemand struct {
	router *routerState
	demand int
	slots  int
	credit float64
}

// divide assigns every slot to a router: first to the routers whose accounts want slots, the
// account with the lowest virtual time first, then the rest evenly.
func (d *Divider) divide(now time.Time) {
	d.lastDivision = now
	d.divisionRequested = false
	d.slotsShort = false
	d.divisions++
	division := &division{divider: d, now: now, live: d.liveRouters(), givenByRouter: make(map[routerAccount]int), givenByAccount: make(map[string]int)}
	division.countFreeSlots()
	division.collectDemands()
	for _, class := range d.classes {
		division.divideClass(class)
	}
	d.unleasedSlots = 0
	for _, class := range d.classes {
		d.unleasedSlots += class.freeSlots
	}
	for _, router := range division.live {
		if router.needsGrant {
			d.sendGrant(router)
		}
	}
}

// division is the state of one division.
type division struct {
	divider *Divider
	now     time.Time
	live    []*routerState
	// demands is the demand for each class, ordered by router.
	demands map[*targetClass][]classDemand
	// held is the number of slots of each class that each router was assigned before.
	held map[*targetClass]map[*routerState]int
	// givenByAccount and givenByRouter count the slots that earlier classes gave to accounts that
	// may use several classes.
	givenByAccount map[string]int
	givenByRouter  map[routerAccount]int
}

// classDemand is the work of one account in one router that a class may serve.
type classDemand struct {
	router  *routerState
	account *accountState
	count   int
}

type routerAccount struct {
	router  *routerState
	account *accountState
}

func (d *Divider) liveRouters() []*routerState {
	live := make([]*routerState, 0, len(d.routerList))
	for _, router := range d.routerList {
		if !router.expired {
			live = append(live, router)
		}
	}
	return live
}

func (c *targetClass) capacity(leaving map[string]bool) int {
	slots := 0
	for _, target := range c.targets {
		if !leaving[target.Name] {
			slots += target.Slots
		}
	}
	return slots
}

// collectDemands collects the demand for each class: the requests that wait for one of its events
// and the running requests.
func (d *division) collectDemands() {
	divider := d.divider
	d.demands = make(map[*targetClass][]classDemand, len(divider.classes))
	for _, router := range d.live {
		if router.leaving {
			continue
		}
		for _, queue := range router.queues {
			for _, class := range divider.byEvent[queue.Event] {
				d.add(class, router, divider.accounts[queue.Account], queue.Waiting)
			}
		}
		for _, name := range router.running {
			account := divider.accounts[name]
			if account == nil {
				continue
			}
			for _, class := range account.classes {
				d.add(class, router, account, router.usage[name].Running)
			}
		}
	}
}

func (d *division) add(class *targetClass, router *routerState, account *accountState, count int) {
	if account != nil && count > 0 && class.accounts[account.name] {
		d.demands[class] = append(d.demands[class], classDemand{router: router, account: account, count: count})
	}
}

func (d *division) divideClass(class *targetClass) {
	wanted := make(map[*routerState]int, len(d.live))
	claimants := d.claimants(class)
	spare := waterFill(claimants, class.capacity(d.divider.leaving))
	clear(class.given)
	for _, claimant := range claimants {
		class.given[claimant.account.name] = claimant.slots
		if len(claimant.account.classes) > 1 {
			d.givenByAccount[claimant.account.name] += claimant.slots
		}
		claimant.distribute(d, wanted)
	}
	d.distributeSpare(wanted, spare)
	d.assignSlots(class, wanted)
}

// claimants groups the demand for a class by account, minus what earlier classes gave. The account
// with the lowest virtual time comes first.
func (d *division) claimants(class *targetClass) []*claimant {
	byAccount := make(map[*accountState]*claimant)
	var list []*claimant
	totalCost, requests := 0.0, 0
	for _, demand := range d.demands[class] {
		count := demand.count
		if len(demand.account.classes) > 1 {
			key := routerAccount{demand.router, demand.account}
			used := min(count, d.givenByRouter[key])
			d.givenByRouter[key] -= used
			count -= used
		}
		if count <= 0 {
			continue
		}
		c := byAccount[demand.account]
		if c == nil {
			c = &claimant{account: demand.account}
			byAccount[demand.account] = c
			list = append(list, c)
		}
		c.add(demand.router, count)
		totalCost += demand.account.meanCost * float64(count)
		requests += count
	}
	const leastCost = 1e-9
	for _, claimant := range list {
		claimant.virtualTimePerSlot = slotDamping * max(totalCost/float64(requests), leastCost) / claimant.account.share
		claimant.virtualTime = claimant.account.effectiveVirtualTime() + float64(d.givenByAccount[claimant.account.name])*claimant.virtualTimePerSlot
	}
	slices.SortFunc(list, func(a, b *claimant) int {
		return cmp.Or(cmp.Compare(a.virtualTime, b.virtualTime), cmp.Compare(a.account.name, b.account.name))
	})
	return list
}

// add adds the work of one router. All work of a router is added consecutively.
func (c *claimant) add(router *routerState, count int) {
	c.demand += count
	if last := len(c.routers) - 1; last >= 0 && c.routers[last].router == router {
		c.routers[last].demand += count
		return
	}
	c.routers = append(c.routers, routerDemand{router: router, demand: count})
}

// waterFill distributes the capacity by max-min fairness: the lowest virtual times rise together,
// each until its demand is met. It returns the remaining capacity. Since slots are indivisible,
// those that remain below the common virtual time go to the accounts with the lowest projected
// virtual time.
func waterFill(claimants []*claimant, capacity int) int {
	total := 0
	for _, claimant := range claimants {
		total += claimant.demand
	}
	if total <= capacity {
		for _, claimant := range claimants {
			claimant.slots = claimant.demand
		}
		return capacity - total
	}
	common := commonVirtualTime(claimants, capacity)
	left := capacity
	for _, claimant := range claimants {
		claimant.slots = min(claimant.demand, max(0, int((common-claimant.virtualTime)/claimant.virtualTimePerSlot)))
		left -= claimant.slots
	}
	for ; left > 0; left-- {
		best := leastProjected(claimants)
		if best == nil {
			break
		}
		best.slots++
	}
	return max(left, 0)
}

// commonVirtualTime finds, by bisection, the virtual time at which the demand below it uses up the
// capacity.
func commonVirtualTime(claimants []*claimant, capacity int) float64 {
	low, high := math.Inf(1), 0.0
	for _, claimant := range claimants {
		low = min(low, claimant.virtualTime)
		high = max(high, claimant.virtualTime+claimant.virtualTimePerSlot*float64(claimant.demand))
	}
	const halvings = 50
	for range halvings {
		middle := low + (high-low)/2
		used := 0.0
		for _, claimant := range claimants {
			used += min(float64(claimant.demand), max(0, math.Floor((middle-claimant.virtualTime)/claimant.virtualTimePerSlot)))
		}
		if used > float64(capacity) {
			high = middle
		} else {
			low = middle
		}
	}
	return low
}

// leastProjected returns the claimant with the lowest virtual time after its slots so far, among those
// with unmet demand, or nil if there is none.
func leastProjected(claimants []*claimant) *claimant {
	var best *claimant
	least := math.Inf(1)
	for _, claimant := range claimants {
		if projected := claimant.virtualTime + float64(claimant.slots)*claimant.virtualTimePerSlot; claimant.slots < claimant.demand && projected < least {
			best, least = claimant, projected
		}
	}
	return best
}

// distribute divides an account's slots among its routers in proportion to their demand. Rounding
// errors are carried over to the next division, so that a router with a small part of the account's
// work gets slots at times.
func (c *claimant) distribute(division *division, wanted map[*routerState]int) {
	name := c.account.name
	left := c.slots
	for i := range c.routers {
		part := &c.routers[i]
		exact := float64(c.slots) * float64(part.demand) / float64(c.demand)
		credit := min(part.router.roundingCredit[name]+exact, float64(part.demand)+1)
		part.slots = min(int(credit), part.demand, left)
		part.credit = credit - float64(part.slots)
		left -= part.slots
	}
	c.distributeRemainder(left)
	for _, part := range c.routers {
		wanted[part.router] += part.slots
		part.router.roundingCredit[name] = part.credit
		if len(c.account.classes) > 1 {
			division.givenByRouter[routerAccount{part.router, c.account}] += part.slots
		}
	}
}

// distributeRemainder assigns the slots left over by rounding, by the largest credit first.
func (c *claimant) distributeRemainder(left int) {
	if left == 0 {
		return
	}
	order := make([]*routerDemand, 0, len(c.routers))
	for i := range c.routers {
		order = append(order, &c.routers[i])
	}
	slices.SortStableFunc(order, func(a, b *routerDemand) int { return cmp.Compare(b.credit, a.credit) })
	for left > 0 {
		before := left
		for _, part := range order {
			if left > 0 && part.slots < part.demand {
				part.slots++
				part.credit--
				left--
			}
		}
		if left == before {
			return
		}
	}
}

// distributeSpare divides the slots that no account wants evenly among all routers, so that a new
// request finds a free slot at any router.
func (d *division) distributeSpare(wanted map[*routerState]int, spare int) {
	staying := make([]*routerState, 0, len(d.live))
	for _, router := range d.live {
		if !router.leaving {
			staying = append(staying, router)
		}
	}
	if len(staying) == 0 {
		return
	}
	each, remainder := spare/len(staying), spare%len(staying)
	for i, router := range staying {
		wanted[router] += each
		if i < remainder {
			wanted[router]++
		}
	}
}
