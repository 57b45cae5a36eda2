package fairshare

import (
	"slices"
	"time"

	"laburnumfall/internal/message"
)

// InForce returns how many routers with a lease have reported the
// configuration or a later one, and whether all have. A leader that follows another one
// cannot speak for all until the former's leases have lapsed: routers that hold one may
// not have reported to it yet, and serve by what they had, or refuse for want of any.
func (d *Divider) InForce(now time.Time, number uint64) (have int, all bool) {
	const firstTerm = 1
	all = d.Term == firstTerm || !now.Before(d.cautious)
	for _, r := range d.order {
		switch {
		case r.lapsed:
		case r.number >= number:
			have++
		default:
			all = false
		}
	}
	return have, all
}

// Load returns the slots in use and the slots of live targets.
func (d *Divider) Load() (busy, slots int) {
	for _, cl := range d.classes {
		slots += cl.capacity(d.gone)
	}
	for _, r := range d.order {
		for _, h := range r.holding {
			busy += h.InUse
		}
	}
	return busy, slots
}

// Routers returns the routers with a lease.
func (d *Divider) Routers() []message.RouterStatus {
	list := make([]message.RouterStatus, 0, len(d.order))
	for _, r := range d.order {
		if r.lapsed {
			continue
		}
		s := message.RouterStatus{Name: r.key.name, Zone: r.zone, Number: r.number, ConfigLag: d.number - min(r.number, d.number), HasLease: true}
		for _, q := range r.queues {
			s.Waiting += q.Waiting
		}
		for _, u := range r.usage {
			s.Running += u.Running
		}
		list = append(list, s)
	}
	return list
}

// AnyAlive reports whether a router with a lease fits.
func (d *Divider) AnyAlive(fits func(name string, inc uint64) bool) bool {
	return slices.ContainsFunc(d.order, func(r *router) bool {
		return !r.lapsed && fits(r.key.name, r.key.inc)
	})
}
