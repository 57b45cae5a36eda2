package workload

import (
	"strconv"
	"time"

	"laburnumfall/internal/admission"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/placement"
	"laburnumfall/internal/quota"
)

const (
	// listLag is how long routers do not know that an engine is gone or back: the
	// platform's list shows it late, and is read every 600 ms.
	listLag = 1500 * time.Millisecond
	pool    = "engines"
)

// routers is what routers do: each has its own view, and learns of the others through
// the leader.
type routers struct {
	// change, if set, leaves a mechanism out.
	change func(*routers)

	desks    []*desk
	board    quota.Aggregator
	rules    []admission.Rule
	back     admission.RetryPolicy
	sizes    bool
	certain  bool
	capacity float64       // tokens a second that accounts share
	copyRate float64       // tokens copied between engines in a millisecond
	period   time.Duration // in which routers hear of each other
}

// Step implements policy.
func (*routers) Step(*world, int) {}

// desk is the decisions of one router.
type desk struct {
	admission.Controller

	name string
}

// Begin implements policy.
func (p *routers) Begin(w *world) {
	p.capacity, p.copyRate, p.period, p.sizes = w.Scenario.Capacity, w.Scenario.Engines.CopyRate, w.Scenario.period(), true
	if p.change != nil {
		p.change(p)
	}
	for i := range w.Scenario.Routers {
		d := &desk{name: "r" + strconv.Itoa(i)}
		d.Controller = admission.NewController(
			&placement.Placer{Zone: zone(i % w.Scenario.Zones), Routers: w.Scenario.Routers, NoJitter: p.certain}, &quota.Shares{Capacity: p.capacity},
		)
		p.leaveOut(&d.Controller)
		d.Placer.SetPools(map[string]fleet.Pool{pool: {Name: pool, Engine: &fleet.Engine{
			Slots: w.Scenario.Engines.Slots, CopyRate: p.copyRate, KVCapacity: w.Scenario.Engines.KVCapacity,
		}}})
		p.desks = append(p.desks, d)
		d.Placer.SetTargets(w.now, w.list())
		offset := p.period * time.Duration(i) / time.Duration(w.Scenario.Routers)
		w.after(offset, func() { p.report(w, d) })
	}
}

// leaveOut replaces what a desk decides by where that is to be another.
func (p *routers) leaveOut(d *admission.Controller) {
	if p.rules != nil {
		d.Rules = p.rules
	}
	if p.back != nil {
		d.RetryPolicy = p.back
	}
	if !p.sizes {
		d.SizeFairness = nil
	}
}

// Targets implements policy.
func (p *routers) Targets(w *world) {
	w.after(listLag, func() {
		for _, d := range p.desks {
			d.Placer.SetTargets(w.now, w.list())
		}
	})
}

// list returns the engines that are there.
func (w *world) list() []fleet.Instance {
	var list []fleet.Instance
	for i, id := range w.ids {
		if !w.away[i] {
			list = append(list, fleet.Instance{
				Incarnation: fleet.Incarnation{ID: id}, Pool: pool, Address: id, Zone: zone(i % w.Scenario.Zones), Slots: w.Scenario.Engines.Slots,
			})
		}
	}
	return list
}

func zone(i int) fleet.Zone {
	return fleet.Zone("z" + strconv.Itoa(i))
}

func (p *routers) report(w *world, d *desk) {
	demand, mine := d.Shares.Demand(w.now), d.Placer.Backlog()
	w.after(time.Duration(w.Scenario.CrossZoneLatency), func() {
		p.board.Report(w.now, d.name, demand, mine)
		sums, backlog, _ := p.board.Sums(w.now)
		w.after(time.Duration(w.Scenario.CrossZoneLatency), func() {
			d.Shares.SetFleetDemand(sums)
			d.Placer.SetRemoteBacklog(w.now, quota.ExcludeOwn(backlog, mine))
		})
	})
	if !w.over() {
		w.after(p.period, func() { p.report(w, d) })
	}
}

// Ask implements policy.
func (p *routers) Ask(w *world, a *attempt) {
	a.within = p.desks[a.router].Shares.CountRequest(w.now, account(a), a.tokens())
}

func account(a *attempt) string {
	return "a" + strconv.Itoa(a.account)
}

// Choose implements policy.
func (p *routers) Choose(w *world, a *attempt) (int, time.Duration) {
	choice, no := p.desks[a.router].Decide(w.now, admission.Request{
		Placement: placement.Request{Pool: pool, Parts: a.parts, Avoid: a.tried}, Route: a.route, Account: account(a),
		Cost: a.tokens(), Deadline: a.until(), WithinShare: a.within, SentBefore: a.sent > 0, Charged: a.sent > 0,
	})
	if no != nil {
		return -1, no.RetryAfter
	}
	a.choice = choice
	for i, id := range w.ids {
		if id == choice.Target.ID {
			return i, 0
		}
	}
	return -1, admission.NoCapacityRetryAfter
}

// First implements policy.
func (p *routers) First(w *world, a *attempt) {
	if !a.ended {
		p.desks[a.router].Placer.RecordFirstByte(w.now, a.choice)
	}
}

// Ended implements policy.
func (p *routers) Ended(w *world, a *attempt, r placement.Result) {
	p.desks[a.router].Placer.EndAttempt(w.now, a.choice, r)
}
