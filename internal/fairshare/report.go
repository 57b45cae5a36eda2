package fairshare

import (
	"cmp"
	"slices"
	"time"

	"laburnumfall/internal/message"
)

// Report takes a router's report.
func (d *Divider) Report(now time.Time, m message.Report) {
	key := routerKey{name: m.Router, inc: m.Incarnation}
	r := d.routers[key]
	if (r == nil || r.lapsed) && !m.Full {
		return
	}
	if r == nil {
		r = d.addRouter(key, m)
	}
	if m.Seq <= r.seq && r.seq > 0 {
		return
	}
	if r.lapsed {
		r.lapsed = false
		r.known = false
	}
	d.sum(r, -1)
	d.adoptLevels(r, m)
	d.count(r, m)
	r.seq, r.sent, r.heard, r.zone = m.Seq, m.SentAt, now, m.Zone
	r.number, r.leaving = m.Number, m.Leaving
	r.queues = m.Queues
	d.sum(r, 1)
	for _, q := range r.queues {
		if a := d.accounts[q.Account]; a != nil {
			d.lift(now, a)
		}
	}
	d.hold(r, m)
	d.weigh(r)
	if d.wanted && !now.Before(d.divided.Add(dividePause)) {
		d.update(now)
		d.divide(now)
		return
	}
	d.grant(r)
}

func (d *Divider) addRouter(key routerKey, m message.Report) *router {
	r := &router{
		key:     key,
		usage:   make(map[string]message.Usage),
		holding: make(map[string]message.SlotUsage),
		slots:   make(map[string]int),
		credit:  make(map[string]float64),
		told:    make(map[string]float64),
	}
	d.routers[key] = r
	i, _ := slices.BinarySearchFunc(d.order, r, compareRouters)
	d.order = slices.Insert(d.order, i, r)
	// What the levels that the router last heard already include is not
	// counted again.
	for _, u := range m.Usage {
		r.usage[u.Account] = message.Usage{Account: u.Account, Served: u.ServedInVirtualTime, Settled: u.Settled}
	}
	return r
}

func compareRouters(a, b *router) int {
	return cmp.Or(cmp.Compare(a.key.name, b.key.name), cmp.Compare(a.key.inc, b.key.inc))
}

// adoptLevels takes over what routers heard from the leader before. Levels
// never fall, so the highest of an account is the newest.
func (d *Divider) adoptLevels(r *router, m message.Report) {
	if r.known || m.Term >= d.Term {
		r.known = r.known || m.Term == d.Term
		return
	}
	for _, l := range m.VirtualTimes {
		if a := d.accounts[l.Account]; a != nil {
			a.level = max(a.level, l.Value)
		}
	}
}

// count adds the service that the report tells of beyond the one before.
func (d *Divider) count(r *router, m message.Report) {
	for _, u := range m.Usage {
		old := r.usage[u.Account]
		if a := d.accounts[u.Account]; a != nil && u.Served > old.Served {
			a.level += (u.Served - old.Served) / a.share
			if ended := u.Settled - old.Settled; u.Settled > old.Settled {
				mean := (u.Served - old.Served) / float64(ended)
				a.cost += (mean - a.cost) * min(1, costGain*float64(ended))
			}
		}
		u.Served = max(u.Served, old.Served)
		r.usage[u.Account] = u
	}
	r.running = r.running[:0]
	for name, u := range r.usage {
		if u.Running > 0 {
			r.running = append(r.running, name)
		}
	}
	slices.Sort(r.running)
}

const costGain = 0.05

// hold takes over what the router holds, and forgets the grants that it has
// answered. Slots that come free this way are divided at once.
func (d *Divider) hold(r *router, m message.Report) {
	before := make(map[string]int)
	r.reserve(before)
	clear(r.holding)
	for _, h := range m.Slots {
		r.holding[h.Target] = h
	}
	if m.Term != d.Term {
		d.adoptSlots(r)
		return
	}
	r.unacked = slices.DeleteFunc(r.unacked, func(u unacked) bool { return u.seq <= m.AckSeq })
	after := make(map[string]int)
	r.reserve(after)
	for name, n := range before {
		if after[name] < n && d.short {
			d.wanted = true
		}
	}
}

// adoptSlots leaves a router what an earlier leader gave it.
func (d *Divider) adoptSlots(r *router) {
	if r.adopted {
		return
	}
	r.adopted = true
	for name, h := range r.holding {
		if t := d.targets[name]; t != nil && t.Live() && h.Limit > 0 {
			r.slots[name] = h.Limit
			t.adopted += h.Limit
		}
	}
}

// weigh notes whether a router has slots to spare or work that waits for one. A
// division at once helps only if there is both; under a standing backlog every
// slot is busy, and one each period is enough.
func (d *Divider) weigh(r *router) {
	idle := 0
	for _, h := range r.holding {
		idle += max(0, h.Limit-h.InUse)
	}
	d.idle += idle - r.idle
	r.idle = idle
	waits := slices.ContainsFunc(r.queues, func(q message.QueueLength) bool { return q.Waiting > 0 })
	hungry := waits && idle == 0
	if hungry && !r.hungry {
		d.hungry++
	}
	if !hungry && r.hungry {
		d.hungry--
	}
	r.hungry = hungry
	if d.hungry > 0 && d.idle+d.unused > 0 {
		d.wanted = true
	}
}
