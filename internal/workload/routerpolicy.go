package workload

import (
	"strconv"
	"time"

	"laburnumfall/internal/admission"
	"laburnumfall/internal/fleet"
	"laburnumfall/internal/pace"
	"laburnumfall/internal/placement"
	"laburnumfall/internal/quota"
)

const (
	// listDelay is how long it takes routers to notice that an engine crashed or restarted. The
	// platform updates its list with a delay, and routers read it every 600 ms.
	listDelay  = 1500 * time.Millisecond
	enginePool = "engines"
)

// routerPolicy makes the decisions of the real routers. Each router has its own view of the
// engines and receives the load of the other routers through the leader.
type routerPolicy struct {
	// ablate disables a mechanism; it may be nil.
	ablate func(*routerPolicy)

	routers      []*router
	aggregator   quota.Aggregator
	rules        []admission.Rule
	retryPolicy  admission.RetryPolicy
	sizeFairness bool
	noJitter     bool
	capacity     float64       // tokens per second that accounts share
	copyRate     float64       // tokens copied between engines in a millisecond
	reportPeriod time.Duration // how often a router reports its load
}

// StepEnded implements policy.
func (*routerPolicy) StepEnded(*simulation, int) {}

// router holds the admission control and the placement of one router.
type router struct {
	admission.Controller

	name string
}

// Begin implements policy.
func (p *routerPolicy) Begin(sim *simulation) {
	p.capacity, p.copyRate, p.reportPeriod, p.sizeFairness = sim.scenario.Capacity, sim.scenario.Engines.CopyRate, sim.scenario.reportPeriod(), true
	if p.ablate != nil {
		p.ablate(p)
	}
	for i := range sim.scenario.Routers {
		r := &router{name: "r" + strconv.Itoa(i)}
		r.Controller = admission.NewController(
			&placement.Placer{Zone: zoneName(i % sim.scenario.Zones), Routers: sim.scenario.Routers, NoJitter: p.noJitter, MemoryPressure: sim.scenario.Engines.MemoryPressure}, &quota.Shares{Capacity: p.capacity},
		)
		p.overrideController(&r.Controller)
		r.Placer.SetPools(map[string]fleet.Pool{enginePool: {Name: enginePool, Engine: &fleet.Engine{
			Slots: sim.scenario.Engines.Slots, CopyRate: p.copyRate, KVCapacity: sim.scenario.Engines.KVCapacity,
		}}})
		p.routers = append(p.routers, r)
		r.Placer.SetTargets(sim.now, sim.availableInstances())
		offset := p.reportPeriod * time.Duration(i) / time.Duration(sim.scenario.Routers)
		sim.scheduleAfter(offset, func() { p.report(sim, r) })
	}
}

// overrideController replaces the parts of a router's admission control that an ablation changes.
func (p *routerPolicy) overrideController(controller *admission.Controller) {
	if p.rules != nil {
		controller.Rules = p.rules
	}
	if p.retryPolicy != nil {
		controller.RetryPolicy = p.retryPolicy
	}
	if !p.sizeFairness {
		controller.SizeFairness = nil
	}
}

// EnginesChanged implements policy.
func (p *routerPolicy) EnginesChanged(sim *simulation) {
	sim.scheduleAfter(listDelay, func() {
		for _, r := range p.routers {
			r.Placer.SetTargets(sim.now, sim.availableInstances())
		}
	})
}

// availableInstances returns the engines that are up.
func (sim *simulation) availableInstances() []fleet.Instance {
	var instances []fleet.Instance
	for i, id := range sim.engineIDs {
		if !sim.down[i] {
			instances = append(instances, fleet.Instance{
				Incarnation: fleet.Incarnation{ID: id}, Pool: enginePool, Address: id, Zone: zoneName(i % sim.scenario.Zones), Slots: sim.scenario.Engines.Slots,
			})
		}
	}
	return instances
}

func zoneName(index int) fleet.Zone {
	return fleet.Zone("z" + strconv.Itoa(index))
}

// report sends the load of a router to the leader, receives that of the others, and schedules the
// next report.
func (p *routerPolicy) report(sim *simulation, r *router) {
	demand, ownBacklog := r.Shares.Demand(sim.now), r.Placer.Backlog()
	sim.scheduleAfter(time.Duration(sim.scenario.CrossZoneLatency), func() {
		p.aggregator.Report(sim.now, r.name, demand, ownBacklog)
		fleetDemand, backlog, _ := p.aggregator.Sums(sim.now)
		sim.scheduleAfter(time.Duration(sim.scenario.CrossZoneLatency), func() {
			r.Shares.SetFleetDemand(fleetDemand)
			offered, sent := quota.TotalRates(fleetDemand)
			r.Placer.SetFleetRates(sim.now, offered, sent)
			r.Placer.SetRemoteBacklog(sim.now, quota.ExcludeOwn(backlog, ownBacklog))
		})
	})
	if !sim.arrivalsOver() {
		sim.scheduleAfter(p.reportPeriod, func() { p.report(sim, r) })
	}
}

// RequestArrived implements policy.
func (p *routerPolicy) RequestArrived(sim *simulation, a *attempt) {
	a.withinShare = p.routers[a.routerIndex].Shares.CountRequest(sim.now, accountName(a), a.cost())
}

func accountName(a *attempt) string {
	return "a" + strconv.Itoa(a.account)
}

// Choose implements policy.
func (p *routerPolicy) Choose(sim *simulation, a *attempt) (int, time.Duration) {
	choice, refusal := p.routers[a.routerIndex].Decide(sim.now, admission.Request{
		Placement: placement.Request{Pool: enginePool, Parts: a.parts, Avoid: a.tried, Output: a.outputTokens}, Route: a.route, Account: accountName(a),
		Cost: a.cost(), Deadline: a.deadline(), WithinShare: a.withinShare, SentBefore: a.sends > 0, Charged: a.sends > 0,
	})
	if refusal != nil {
		return -1, refusal.RetryAfter
	}
	a.choice = choice
	for i, id := range sim.engineIDs {
		if id == choice.Target.ID {
			return i, 0
		}
	}
	return -1, admission.NoCapacityRetryAfter
}

// FirstByte implements policy.
func (p *routerPolicy) FirstByte(sim *simulation, a *attempt) {
	if a.ended {
		return
	}
	placer := p.routers[a.routerIndex].Placer
	placer.RecordFirstByte(sim.now, a.choice)
	if sim.scenario.Engines.ReportsSlowdown {
		e := sim.engines[a.engineIndex]
		running, waiting := e.Load()
		placer.RecordLoad(sim.now, a.choice.Target.Incarnation, pace.Report{Running: running, Waiting: waiting, Slots: e.Slots, Slowdown: e.Slowdown()})
	}
}

// AttemptEnded implements policy.
func (p *routerPolicy) AttemptEnded(sim *simulation, a *attempt, result placement.Result) {
	p.routers[a.routerIndex].Placer.EndAttempt(sim.now, a.choice, result)
}
