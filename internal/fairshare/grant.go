package fairshare

import (
	"maps"
	"math"
	"slices"

	"laburnumfall/internal/message"
)

// A RouterGrant is a grant and the incarnation of the router that it is for.
type RouterGrant struct {
	Router      string
	Incarnation uint64
	Grant       message.Grant
}

// sendGrant renews a router's lease.
func (d *Divider) sendGrant(router *routerState) {
	router.grantSeq++
	router.needsGrant = false
	// The lease is counted from the report and not from now. Otherwise grants that follow a
	// division would keep the slots of a dead router reserved.
	router.leaseExpiry = router.reportReceived.Add(RouterLease + leaseMargin)
	grant := message.Grant{
		Term: d.Term, Seq: router.grantSeq, Incarnation: router.key.incarnation, EchoSeq: router.seq,
		ExpiresAt:        router.reportSent.Add(RouterLease),
		Number:           d.configNumber,
		VirtualTimeFloor: d.floor(),
		SlotsShort:       d.slotsShort || d.starvedRouters > 0,
		LeavingTargets:   slices.Sorted(maps.Keys(d.leaving)),
	}
	if router.virtualTimesSentAtSeq != router.seq {
		router.virtualTimesSentAtSeq = router.seq
		grant.VirtualTimes = d.virtualTimesFor(router)
	}
	if router.configNumber != d.configNumber && (router.sentConfigNumber != d.configNumber || router.configSentAtSeq != router.seq) {
		// Send it once per report: it is large, and each division makes a grant.
		router.sentConfigNumber, router.configSentAtSeq = d.configNumber, router.seq
		grant.Config = d.configText
	}
	for _, name := range slices.Sorted(maps.Keys(router.assigned)) {
		if count := router.assigned[name]; count > 0 {
			grant.Slots = append(grant.Slots, message.SlotGrant{Target: name, Count: count})
		}
	}
	router.unackedGrants = append(router.unackedGrants, unackedGrant{seq: router.grantSeq, slots: maps.Clone(router.assigned)})
	if len(router.unackedGrants) > maxUnackedGrants {
		mergeOldestUnacked(router)
	}
	d.grants = append(d.grants, RouterGrant{Router: router.key.name, Incarnation: router.key.incarnation, Grant: grant})
}

const maxUnackedGrants = 8

// mergeOldestUnacked merges the two oldest unacknowledged grants.
func mergeOldestUnacked(router *routerState) {
	first, second := router.unackedGrants[0], router.unackedGrants[1]
	for name, count := range first.slots {
		second.slots[name] = max(second.slots[name], count)
	}
	router.unackedGrants = slices.Delete(router.unackedGrants, 0, 1)
}

// virtualTimesFor returns the virtual times that a router needs now: those of the accounts that
// wait in it, and periodically those of all accounts it serves whose virtual time has changed.
func (d *Divider) virtualTimesFor(router *routerState) []message.VirtualTime {
	const refresh = 8
	names := make([]string, 0, len(router.queues))
	for _, queue := range router.queues {
		names = append(names, queue.Account)
	}
	if router.grantSeq%refresh == 1 {
		for name := range router.usage {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	virtualTimes := make([]message.VirtualTime, 0, len(names))
	for _, name := range slices.Compact(names) {
		account := d.accounts[name]
		if account == nil || !account.backlogged && account.virtualTime == router.sentVirtualTimes[name] {
			continue
		}
		router.sentVirtualTimes[name] = account.virtualTime
		remoteCharge := (account.chargedCost - router.usage[name].EstimatedCost) / account.share
		virtualTimes = append(virtualTimes, message.VirtualTime{
			Account: name, Value: roundForWire(account.virtualTime), RemoteCharge: roundForWire(max(remoteCharge, 0)), FleetRatio: router.fleetRatio(account),
		})
	}
	return virtualTimes
}

// fleetRatio returns the account's work in the fleet relative to its work in the router.
func (r *routerState) fleetRatio(account *accountState) float64 {
	ownWork := r.usage[account.name].Running
	for _, queue := range r.queues {
		if queue.Account == account.name {
			ownWork += queue.Waiting
		}
	}
	if ownWork == 0 {
		return 1
	}
	const precision = 10
	return math.Round(precision*float64(account.waiting+account.running)/float64(ownWork)) / precision
}

// roundForWire rounds to a precision that suffices for every decision, to make messages smaller.
func roundForWire(value float64) float64 {
	const precision = 1e3
	return math.Round(value*precision) / precision
}
