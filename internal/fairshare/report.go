package fairshare

import (
	"cmp"
	"slices"
	"time"

	"laburnumfall/internal/message"
)

// HandleReport handles a router's report. It updates the accounting, and then divides the slots if
// a requested division is due, or else renews the router's lease.
func (d *Divider) HandleReport(now time.Time, report message.Report) {
	key := routerKey{name: report.Router, incarnation: report.Incarnation}
	router := d.routers[key]
	if (router == nil || router.expired) && !report.Full {
		return
	}
	if router == nil {
		router = d.addRouter(key, report)
	}
	if report.Seq <= router.seq && router.seq > 0 {
		return
	}
	if router.expired {
		router.expired = false
		router.acknowledged = false
	}
	d.addToTotals(router, -1)
	d.adoptVirtualTimes(router, report)
	d.addUsage(router, report)
	router.seq, router.reportSent, router.reportReceived, router.zone = report.Seq, report.SentAt, now, report.Zone
	router.configNumber, router.leaving = report.Number, report.Leaving
	router.queues = report.Queues
	d.addToTotals(router, 1)
	for _, queue := range router.queues {
		if account := d.accounts[queue.Account]; account != nil {
			d.raiseToFloor(now, account)
		}
	}
	d.updateHoldings(router, report)
	d.updateIdleSlots(router)
	if d.divisionRequested && !now.Before(d.lastDivision.Add(minDivideInterval)) {
		d.refreshTotals(now)
		d.divide(now)
		return
	}
	d.sendGrant(router)
}

func (d *Divider) addRouter(key routerKey, report message.Report) *routerState {
	router := &routerState{
		key:              key,
		usage:            make(map[string]message.Usage),
		holdings:         make(map[string]message.SlotUsage),
		assigned:         make(map[string]int),
		roundingCredit:   make(map[string]float64),
		sentVirtualTimes: make(map[string]float64),
	}
	d.routers[key] = router
	position, _ := slices.BinarySearchFunc(d.routerList, router, compareRouters)
	d.routerList = slices.Insert(d.routerList, position, router)
	// Do not count again the service that the router's received virtual times already include.
	for _, usage := range report.Usage {
		router.usage[usage.Account] = message.Usage{Account: usage.Account, Served: usage.ServedInVirtualTime, Settled: usage.Settled}
	}
	return router
}

func compareRouters(a, b *routerState) int {
	return cmp.Or(cmp.Compare(a.key.name, b.key.name), cmp.Compare(a.key.incarnation, b.key.incarnation))
}

// adoptVirtualTimes adopts the virtual times that a router received from an earlier leader. Virtual
// times never decrease, so the highest one of an account is the newest.
func (d *Divider) adoptVirtualTimes(router *routerState, report message.Report) {
	if router.acknowledged || report.Term >= d.Term {
		router.acknowledged = router.acknowledged || report.Term == d.Term
		return
	}
	for _, virtualTime := range report.VirtualTimes {
		if account := d.accounts[virtualTime.Account]; account != nil {
			account.virtualTime = max(account.virtualTime, virtualTime.Value)
		}
	}
}

// addUsage adds the service reported since the router's previous report.
func (d *Divider) addUsage(router *routerState, report message.Report) {
	for _, usage := range report.Usage {
		previous := router.usage[usage.Account]
		if account := d.accounts[usage.Account]; account != nil && usage.Served > previous.Served {
			account.virtualTime += (usage.Served - previous.Served) / account.share
			if settled := usage.Settled - previous.Settled; usage.Settled > previous.Settled {
				mean := (usage.Served - previous.Served) / float64(settled)
				account.meanCost += (mean - account.meanCost) * min(1, meanCostWeight*float64(settled))
			}
		}
		usage.Served = max(usage.Served, previous.Served)
		router.usage[usage.Account] = usage
	}
	router.running = router.running[:0]
	for name, usage := range router.usage {
		if usage.Running > 0 {
			router.running = append(router.running, name)
		}
	}
	slices.Sort(router.running)
}

const meanCostWeight = 0.05

// updateHoldings records the slots that the router holds and removes the grants that it has
// acknowledged. If that frees slots while some are short, it requests a division.
func (d *Divider) updateHoldings(router *routerState, report message.Report) {
	before := make(map[string]int)
	router.addReserved(before)
	clear(router.holdings)
	for _, holding := range report.Slots {
		router.holdings[holding.Target] = holding
	}
	if report.Term != d.Term {
		d.adoptSlots(router)
		return
	}
	router.unackedGrants = slices.DeleteFunc(router.unackedGrants, func(grant unackedGrant) bool { return grant.seq <= report.AckSeq })
	after := make(map[string]int)
	router.addReserved(after)
	for name, count := range before {
		if after[name] < count && d.slotsShort {
			d.divisionRequested = true
		}
	}
}

// adoptSlots lets a router keep the slots that an earlier leader granted it.
func (d *Divider) adoptSlots(router *routerState) {
	if router.slotsAdopted {
		return
	}
	router.slotsAdopted = true
	for name, holding := range router.holdings {
		if target := d.targets[name]; target != nil && target.Live() && holding.Limit > 0 {
			router.assigned[name] = holding.Limit
			target.adoptedSlots += holding.Limit
		}
	}
}

// updateIdleSlots records whether the router has idle slots or waiting work without one. An early
// division is useful only if the fleet has both. Under a constant backlog every slot is busy, and
// one division per interval is enough.
func (d *Divider) updateIdleSlots(router *routerState) {
	idleSlots := 0
	for _, holding := range router.holdings {
		idleSlots += max(0, holding.Limit-holding.InUse)
	}
	d.idleSlots += idleSlots - router.idleSlots
	router.idleSlots = idleSlots
	waiting := slices.ContainsFunc(router.queues, func(queue message.QueueLength) bool { return queue.Waiting > 0 })
	starved := waiting && idleSlots == 0
	if starved && !router.starved {
		d.starvedRouters++
	}
	if !starved && router.starved {
		d.starvedRouters--
	}
	router.starved = starved
	if d.starvedRouters > 0 && d.idleSlots+d.unleasedSlots > 0 {
		d.divisionRequested = true
	}
}
