package fairshare

import (
	"slices"
	"time"

	"laburnumfall/internal/message"
)

// ConfigInForce returns how many routers with a lease have reported the configuration or a later
// one, and whether all have. In a later term, the answer cannot cover all routers until the leases
// of earlier terms have expired: routers with such a lease may not have reported yet, and serve by
// an older configuration, or refuse because they have none.
func (d *Divider) ConfigInForce(now time.Time, number uint64) (leased int, all bool) {
	all = !d.MayHaveUnknownLeases(now)
	for _, router := range d.routerList {
		switch {
		case router.expired:
		case router.configNumber >= number:
			leased++
		default:
			all = false
		}
	}
	return leased, all
}

// MayHaveUnknownLeases reports whether routers may have leases of earlier terms that they have not
// reported yet.
func (d *Divider) MayHaveUnknownLeases(now time.Time) bool {
	const firstTerm = 1
	return d.Term != firstTerm && now.Before(d.unknownLeasesUntil)
}

// SlotUsage returns the number of busy slots and the total slots of live targets.
func (d *Divider) SlotUsage() (busy, slots int) {
	for _, class := range d.classes {
		slots += class.capacity(d.leaving)
	}
	for _, router := range d.routerList {
		for _, holding := range router.holdings {
			busy += holding.InUse
		}
	}
	return busy, slots
}

// RouterStatuses returns the status of the routers with a lease.
func (d *Divider) RouterStatuses() []message.RouterStatus {
	list := make([]message.RouterStatus, 0, len(d.routerList))
	for _, router := range d.routerList {
		if router.expired {
			continue
		}
		status := message.RouterStatus{Name: router.key.name, Zone: router.zone, Number: router.configNumber, ConfigLag: d.configNumber - min(router.configNumber, d.configNumber), HasLease: true}
		for _, queue := range router.queues {
			status.Waiting += queue.Waiting
		}
		for _, usage := range router.usage {
			status.Running += usage.Running
		}
		list = append(list, status)
	}
	return list
}

// AnyLeased reports whether any router with a lease satisfies matches.
func (d *Divider) AnyLeased(matches func(name string, incarnation uint64) bool) bool {
	return slices.ContainsFunc(d.routerList, func(router *routerState) bool {
		return !router.expired && matches(router.key.name, router.key.incarnation)
	})
}
