package fairshare

import (
	"cmp"
	"maps"
	"slices"

	"laburnumfall/internal/fleet"
)

// countFree counts the slots of each target that no router can be using: what
// a router was once granted counts until it has answered a later grant, or its
// lease has lapsed.
func (p *plan) countFree() {
	d := p.divider
	for _, t := range d.targets {
		t.free = t.Slots
	}
	p.has = make(map[*class]map[*router]int, len(d.classes))
	for _, cl := range d.classes {
		p.has[cl] = make(map[*router]int, len(p.live))
	}
	for _, r := range p.live {
		p.countRouter(r)
	}
	for _, cl := range d.classes {
		cl.open(d, p)
	}
}

func (p *plan) countRouter(r *router) {
	if r.reserved == nil {
		r.reserved = make(map[string]int)
	}
	clear(r.reserved)
	r.reserve(r.reserved)
	for name, n := range r.reserved {
		t := p.divider.targets[name]
		if t == nil {
			continue
		}
		t.free -= n
		if has := r.slots[name]; has > 0 && t.class != nil {
			p.has[t.class][r] += has
		}
	}
}

// open lists the targets with free slots, by zone.
func (cl *class) open(d *Divider, p *plan) {
	cl.free = 0
	cl.spare = make(map[fleet.Zone][]*target)
	cl.zones = cl.zones[:0]
	for _, t := range cl.targets {
		if !t.fresh && p.now.Before(d.cautious) {
			// The rest may be with routers not heard of yet.
			t.free = min(t.free, t.adopted-(t.Slots-t.free))
		}
		if t.free <= 0 || d.gone[t.Name] {
			continue
		}
		if cl.spare[t.Zone] == nil {
			cl.zones = append(cl.zones, t.Zone)
		}
		cl.spare[t.Zone] = append(cl.spare[t.Zone], t)
		cl.free += t.free
	}
	slices.Sort(cl.zones)
}

// reserve notes the most slots of each target that the router may hold.
func (r *router) reserve(most map[string]int) {
	for name, n := range r.slots {
		most[name] = max(most[name], n)
	}
	for name, h := range r.holding {
		most[name] = max(most[name], h.Limit, h.InUse)
	}
	for _, u := range r.unacked {
		for name, n := range u.slots {
			most[name] = max(most[name], n)
		}
	}
}

// place turns the number of slots that each router should have of a class into
// slots of its targets. What a router has stays where it is; slots are taken
// back before any are given out, and given out only once nobody holds them.
func (p *plan) place(cl *class, wanted map[*router]int) {
	d := p.divider
	var lacking []*router
	has := p.has[cl]
	move := false
	for _, r := range p.live {
		missing := wanted[r] - has[r]
		move = move || missing > 0 && (has[r] == 0 || d.idle > 0 || missing > tolerance(wanted[r]))
	}
	for _, r := range p.live {
		switch {
		case has[r] > wanted[r] && move:
			r.takeBack(d, cl, has[r]-wanted[r])
		case has[r] < wanted[r]:
			wanted[r] -= has[r]
			lacking = append(lacking, r)
		}
	}
	// Those that lack most come first; equals take turns.
	slices.SortStableFunc(lacking, func(a, b *router) int { return cmp.Compare(wanted[b], wanted[a]) })
	for i := range lacking {
		r := lacking[(i+int(d.rounds))%len(lacking)]
		if p.giveOut(cl, r, wanted[r]) > 0 {
			d.short = true
		}
	}
}

// tolerance returns by how many slots a router may miss its part before slots
// that are all in use are moved for it. Moving one idles it for a round trip
// and costs messages, and each router serves the least served account first
// whatever it holds.
func tolerance(want int) int {
	return max(2, want/4)
}

// takeBack lowers a router's slots by n, idle ones first.
func (r *router) takeBack(d *Divider, cl *class, n int) {
	r.dirty = true
	names := slices.Sorted(maps.Keys(r.slots))
	for _, idleOnly := range []bool{true, false} {
		for _, name := range names {
			if t := d.targets[name]; t == nil || t.class != cl {
				continue
			}
			have := r.slots[name]
			less := min(n, have)
			if idleOnly {
				less = min(less, max(0, have-r.holding[name].InUse))
			}
			n -= less
			r.slots[name] = have - less
			if r.slots[name] == 0 {
				delete(r.slots, name)
			}
			if n == 0 {
				return
			}
		}
	}
}

// giveOut raises a router's slots by up to n: first those that were taken back
// and that it has not yet let go, then free ones, one target after the other so
// that the work spreads, those of the router's own zone first. It returns how
// many it could not give.
func (p *plan) giveOut(cl *class, r *router, n int) int {
	n -= p.restore(cl, r, n)
	n -= cl.take(r, r.zone, n)
	for _, zone := range cl.zones {
		if n == 0 || cl.free == 0 {
			break
		}
		n -= cl.take(r, zone, n)
	}
	return n
}

func (p *plan) restore(cl *class, r *router, n int) int {
	d := p.divider
	var names []string
	for name, most := range r.reserved {
		if t := d.targets[name]; most > r.slots[name] && t != nil && t.class == cl && !d.gone[name] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	got := 0
	for _, name := range names {
		more := min(n-got, r.reserved[name]-r.slots[name], d.targets[name].Slots-r.slots[name])
		if more > 0 {
			r.slots[name] += more
			r.dirty = true
			got += more
		}
	}
	return got
}

// take gives a router up to n free slots of a zone's targets, in turn.
func (cl *class) take(r *router, zone fleet.Zone, n int) int {
	got := 0
	for got < n && len(cl.spare[zone]) > 0 {
		list := cl.spare[zone]
		i := cl.cursor % len(list)
		cl.cursor++
		t := list[i]
		t.free--
		cl.free--
		r.slots[t.Name]++
		r.dirty = true
		got++
		if t.free == 0 {
			cl.spare[zone] = slices.Delete(list, i, i+1)
		}
	}
	return got
}
