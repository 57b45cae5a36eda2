package fairshare

import (
	"cmp"
	"maps"
	"slices"

	"laburnumfall/internal/fleet"
)

// countFreeSlots counts the slots of each target that no router can be using. A granted slot counts
// as used until the router has acknowledged a later grant without it, or its lease has expired.
func (d *division) countFreeSlots() {
	divider := d.divider
	for _, target := range divider.targets {
		target.freeSlots = target.Slots
	}
	d.held = make(map[*targetClass]map[*routerState]int, len(divider.classes))
	for _, class := range divider.classes {
		d.held[class] = make(map[*routerState]int, len(d.live))
	}
	for _, router := range d.live {
		d.countRouter(router)
	}
	for _, class := range divider.classes {
		class.listFreeTargets(divider, d)
	}
}

// countRouter subtracts the slots that a router may hold from the free slots of their targets.
func (d *division) countRouter(router *routerState) {
	if router.reserved == nil {
		router.reserved = make(map[string]int)
	}
	clear(router.reserved)
	router.addReserved(router.reserved)
	for name, count := range router.reserved {
		target := d.divider.targets[name]
		if target == nil {
			continue
		}
		target.freeSlots -= count
		if assigned := router.assigned[name]; assigned > 0 && target.class != nil {
			d.held[target.class][router] += assigned
		}
	}
}

// listFreeTargets lists the targets with free slots by zone.
func (c *targetClass) listFreeTargets(divider *Divider, division *division) {
	c.freeSlots = 0
	c.freeTargets = make(map[fleet.Zone][]*targetState)
	c.freeZones = c.freeZones[:0]
	for _, target := range c.targets {
		if !target.noEarlierLeases && division.now.Before(divider.unknownLeasesUntil) {
			// Routers that have not reported yet may hold the rest.
			target.freeSlots = min(target.freeSlots, target.adoptedSlots-(target.Slots-target.freeSlots))
		}
		if target.freeSlots <= 0 || divider.leaving[target.Name] {
			continue
		}
		if c.freeTargets[target.Zone] == nil {
			c.freeZones = append(c.freeZones, target.Zone)
		}
		c.freeTargets[target.Zone] = append(c.freeTargets[target.Zone], target)
		c.freeSlots += target.freeSlots
	}
	slices.Sort(c.freeZones)
}

// addReserved raises the entries of most to the number of slots that the router may hold of each
// target.
func (r *routerState) addReserved(most map[string]int) {
	for name, count := range r.assigned {
		most[name] = max(most[name], count)
	}
	for name, holding := range r.holdings {
		most[name] = max(most[name], holding.Limit, holding.InUse)
	}
	for _, grant := range r.unackedGrants {
		for name, count := range grant.slots {
			most[name] = max(most[name], count)
		}
	}
}

// assignSlots converts the number of slots of a class that each router should have into slots of
// targets. Slots that a router already has stay with it. Slots are revoked before any are assigned,
// and they are assigned only when no router can hold them.
func (d *division) assignSlots(class *targetClass, wanted map[*routerState]int) {
	divider := d.divider
	var lacking []*routerState
	held := d.held[class]
	rebalance := false
	for _, router := range d.live {
		missing := wanted[router] - held[router]
		rebalance = rebalance || missing > 0 && (held[router] == 0 || divider.idleSlots > 0 || missing > rebalanceThreshold(wanted[router]))
	}
	for _, router := range d.live {
		switch {
		case held[router] > wanted[router] && rebalance:
			router.revoke(divider, class, held[router]-wanted[router])
		case held[router] < wanted[router]:
			wanted[router] -= held[router]
			lacking = append(lacking, router)
		}
	}
	// The routers that lack most come first; ties rotate from division to division.
	slices.SortStableFunc(lacking, func(a, b *routerState) int { return cmp.Compare(wanted[b], wanted[a]) })
	for i := range lacking {
		router := lacking[(i+int(divider.divisions))%len(lacking)]
		if d.assignUpTo(class, router, wanted[router]) > 0 {
			divider.slotsShort = true
		}
	}
}

// rebalanceThreshold returns by how many slots a router may fall short of its part before busy
// slots are moved to it. Moving a slot leaves it idle for a round trip and costs messages, and each
// router serves the account with the lowest virtual time first whatever it holds.
func rebalanceThreshold(wanted int) int {
	return max(2, wanted/4)
}

// revoke takes count slots of a class from a router, idle ones first.
func (r *routerState) revoke(d *Divider, class *targetClass, count int) {
	r.needsGrant = true
	names := slices.Sorted(maps.Keys(r.assigned))
	for _, idleOnly := range []bool{true, false} {
		for _, name := range names {
			if target := d.targets[name]; target == nil || target.class != class {
				continue
			}
			have := r.assigned[name]
			removed := min(count, have)
			if idleOnly {
				removed = min(removed, max(0, have-r.holdings[name].InUse))
			}
			count -= removed
			r.assigned[name] = have - removed
			if r.assigned[name] == 0 {
				delete(r.assigned, name)
			}
			if count == 0 {
				return
			}
		}
	}
}

// assignUpTo assigns up to count slots to a router: first slots that were revoked but that it has
// not released yet, then free ones, those of its own zone first. Free slots are assigned
// round-robin over the targets, to distribute the load. It returns the number of slots that it
// could not assign.
func (d *division) assignUpTo(class *targetClass, router *routerState, count int) int {
	count -= d.restoreReserved(class, router, count)
	count -= class.assignFree(router, router.zone, count)
	for _, zone := range class.freeZones {
		if count == 0 || class.freeSlots == 0 {
			break
		}
		count -= class.assignFree(router, zone, count)
	}
	return count
}

// restoreReserved assigns a router up to count slots again that were revoked from it and that it has
// not released yet. It returns their number.
func (d *division) restoreReserved(class *targetClass, router *routerState, count int) int {
	divider := d.divider
	var names []string
	for name, most := range router.reserved {
		if target := divider.targets[name]; most > router.assigned[name] && target != nil && target.class == class && !divider.leaving[name] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	restored := 0
	for _, name := range names {
		added := min(count-restored, router.reserved[name]-router.assigned[name], divider.targets[name].Slots-router.assigned[name])
		if added > 0 {
			router.assigned[name] += added
			router.needsGrant = true
			restored += added
		}
	}
	return restored
}

// assignFree assigns up to count free slots of one zone to a router, round-robin over the targets.
func (c *targetClass) assignFree(router *routerState, zone fleet.Zone, count int) int {
	assigned := 0
	for assigned < count && len(c.freeTargets[zone]) > 0 {
		list := c.freeTargets[zone]
		i := c.nextTarget % len(list)
		c.nextTarget++
		target := list[i]
		target.freeSlots--
		c.freeSlots--
		router.assigned[target.Name]++
		router.needsGrant = true
		assigned++
		if target.freeSlots == 0 {
			c.freeTargets[zone] = slices.Delete(list, i, i+1)
		}
	}
	return assigned
}
