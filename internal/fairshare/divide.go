package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// levelGain is how many mean costs one slot counts for when levels are evened
// out. Above 1 it damps: an account that lags by one cost gets half a slot more.
const levelGain = 2

// claimant is an account that wants slots of a class.
type claimant struct {
	account *account
	level   float64 // with what it was given in earlier classes
	step    float64 // how much one slot raises the level
	demand  int
	slots   int
	routers []routerDemand
}

type routerDemand struct {
	router *router
	demand int
	slots  int
	credit float64
}

// divide gives every slot to a router: first to those whose accounts want
// them, the least served first, then the rest evenly.
func (d *Divider) divide(now time.Time) {
	d.divided = now
	d.wanted = false
	d.short = false
	d.rounds++
	p := &plan{divider: d, now: now, live: d.liveRouters(), given: make(map[routerAt]int), taken: make(map[string]int)}
	p.countFree()
	p.collect()
	for _, cl := range d.classes {
		p.divideClass(cl)
	}
	d.unused = 0
	for _, cl := range d.classes {
		d.unused += cl.free
	}
	for _, r := range p.live {
		if r.dirty {
			d.grant(r)
		}
	}
}

// plan is one division under way.
type plan struct {
	divider *Divider
	now     time.Time
	live    []*router
	// wants is the work of each class, in the order of the routers.
	wants map[*class][]want
	// has counts the slots of each class that the routers had before.
	has map[*class]map[*router]int
	// taken and given count, for accounts that may use several classes, what
	// earlier classes gave to the account, and to its work in a router.
	taken map[string]int
	given map[routerAt]int
}

// want is work of one account in one router that a class may serve.
type want struct {
	router  *router
	account *account
	count   int
}

type routerAt struct {
	router  *router
	account *account
}

func (d *Divider) liveRouters() []*router {
	live := make([]*router, 0, len(d.order))
	for _, r := range d.order {
		if !r.lapsed {
			live = append(live, r)
		}
	}
	return live
}

func (cl *class) capacity(gone map[string]bool) int {
	n := 0
	for _, t := range cl.targets {
		if !gone[t.Name] {
			n += t.Slots
		}
	}
	return n
}

// collect finds who wants slots of which class: work that waits for one of its
// events, and work that runs.
func (p *plan) collect() {
	d := p.divider
	p.wants = make(map[*class][]want, len(d.classes))
	for _, r := range p.live {
		if r.leaving {
			continue
		}
		for _, q := range r.queues {
			for _, cl := range d.byEvent[q.Event] {
				p.add(cl, r, d.accounts[q.Account], q.Waiting)
			}
		}
		for _, name := range r.running {
			a := d.accounts[name]
			if a == nil {
				continue
			}
			for _, cl := range a.classes {
				p.add(cl, r, a, r.usage[name].Running)
			}
		}
	}
}

func (p *plan) add(cl *class, r *router, a *account, count int) {
	if a != nil && count > 0 && cl.accounts[a.name] {
		p.wants[cl] = append(p.wants[cl], want{router: r, account: a, count: count})
	}
}

func (p *plan) divideClass(cl *class) {
	wanted := make(map[*router]int, len(p.live))
	claimants := p.claimants(cl)
	spare := fill(claimants, cl.capacity(p.divider.gone))
	clear(cl.got)
	for _, c := range claimants {
		cl.got[c.account.name] = c.slots
		if len(c.account.classes) > 1 {
			p.taken[c.account.name] += c.slots
		}
		c.spread(p, wanted)
	}
	p.spreadSpare(wanted, spare)
	p.place(cl, wanted)
}

// claimants joins the wants of a class by account, less what earlier classes
// gave, the least served account first.
func (p *plan) claimants(cl *class) []*claimant {
	byAccount := make(map[*account]*claimant)
	var list []*claimant
	cost, weight := 0.0, 0
	for _, w := range p.wants[cl] {
		n := w.count
		if len(w.account.classes) > 1 {
			at := routerAt{w.router, w.account}
			used := min(n, p.given[at])
			p.given[at] -= used
			n -= used
		}
		if n <= 0 {
			continue
		}
		c := byAccount[w.account]
		if c == nil {
			c = &claimant{account: w.account}
			byAccount[w.account] = c
			list = append(list, c)
		}
		c.add(w.router, n)
		cost += w.account.cost * float64(n)
		weight += n
	}
	const leastCost = 1e-9
	for _, c := range list {
		c.step = levelGain * max(cost/float64(weight), leastCost) / c.account.share
		c.level = c.account.effective() + float64(p.taken[c.account.name])*c.step
	}
	slices.SortFunc(list, func(a, b *claimant) int {
		return cmp.Or(cmp.Compare(a.level, b.level), cmp.Compare(a.account.name, b.account.name))
	})
	return list
}

// add counts work in a router. Work of one router follows in a row.
func (c *claimant) add(r *router, n int) {
	c.demand += n
	if last := len(c.routers) - 1; last >= 0 && c.routers[last].router == r {
		c.routers[last].demand += n
		return
	}
	c.routers = append(c.routers, routerDemand{router: r, demand: n})
}

// fill hands out capacity so that the least levels rise together, each until
// its demand is met, and returns what is left. Whole slots only: what the
// common level leaves over goes to the least projected levels.
func fill(list []*claimant, capacity int) int {
	total := 0
	for _, c := range list {
		total += c.demand
	}
	if total <= capacity {
		for _, c := range list {
			c.slots = c.demand
		}
		return capacity - total
	}
	level := commonLevel(list, capacity)
	left := capacity
	for _, c := range list {
		c.slots = min(c.demand, max(0, int((level-c.level)/c.step)))
		left -= c.slots
	}
	for ; left > 0; left-- {
		best := leastProjected(list)
		if best == nil {
			break
		}
		best.slots++
	}
	return max(left, 0)
}

// commonLevel finds the level at which the demands below it use up capacity.
func commonLevel(list []*claimant, capacity int) float64 {
	low, high := math.Inf(1), 0.0
	for _, c := range list {
		low = min(low, c.level)
		high = max(high, c.level+c.step*float64(c.demand))
	}
	const halvings = 50
	for range halvings {
		middle := low + (high-low)/2
		used := 0.0
		for _, c := range list {
			used += min(float64(c.demand), max(0, math.Floor((middle-c.level)/c.step)))
		}
		if used > float64(capacity) {
			high = middle
		} else {
			low = middle
		}
	}
	return low
}

func leastProjected(list []*claimant) *claimant {
	var best *claimant
	least := math.Inf(1)
	for _, c := range list {
		if projected := c.level + float64(c.slots)*c.step; c.slots < c.demand && projected < least {
			best, least = c, projected
		}
	}
	return best
}

// spread divides an account's slots among its routers by their demand. The
// rounding error is carried over, so that a router with little work of an
// account that has much elsewhere gets its turn.
func (c *claimant) spread(p *plan, wanted map[*router]int) {
	name := c.account.name
	left := c.slots
	for i := range c.routers {
		r := &c.routers[i]
		exact := float64(c.slots) * float64(r.demand) / float64(c.demand)
		credit := min(r.router.credit[name]+exact, float64(r.demand)+1)
		r.slots = min(int(credit), r.demand, left)
		r.credit = credit - float64(r.slots)
		left -= r.slots
	}
	c.spreadRest(left)
	for _, r := range c.routers {
		wanted[r.router] += r.slots
		r.router.credit[name] = r.credit
		if len(c.account.classes) > 1 {
			p.given[routerAt{r.router, c.account}] += r.slots
		}
	}
}

// spreadRest hands out what rounding left over, the largest credit first.
func (c *claimant) spreadRest(left int) {
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
		for _, r := range order {
			if left > 0 && r.slots < r.demand {
				r.slots++
				r.credit--
				left--
			}
		}
		if left == before {
			return
		}
	}
}

// spreadSpare lends the slots that nobody wants evenly to all routers, so that
// a request which arrives anywhere finds one.
func (p *plan) spreadSpare(wanted map[*router]int, spare int) {
	stay := make([]*router, 0, len(p.live))
	for _, r := range p.live {
		if !r.leaving {
			stay = append(stay, r)
		}
	}
	if len(stay) == 0 {
		return
	}
	each, rest := spare/len(stay), spare%len(stay)
	for i, r := range stay {
		wanted[r] += each
		if i < rest {
			wanted[r]++
		}
	}
}
