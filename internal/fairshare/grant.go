package fairshare

import (
	"maps"
	"math"
	"slices"

	"laburnumfall/internal/message"
)

// An Addressed is a grant for one incarnation of a router.
type Addressed struct {
	Router string
	Inc    uint64
	Grant  message.Grant
}

// grant renews the lease of a router that has just reported.
func (d *Divider) grant(r *router) {
	r.granted++
	r.dirty = false
	// Counted from the report, not from now: grants that a division makes must
	// not keep a dead router's slots.
	r.lapses = r.heard.Add(RouterLease + lapseMargin)
	g := message.Grant{
		Term: d.Term, Seq: r.granted, Incarnation: r.key.inc, EchoSeq: r.seq,
		ExpiresAt:        r.sent.Add(RouterLease),
		Number:           d.number,
		VirtualTimeFloor: d.floor(),
		SlotsShort:       d.short || d.hungry > 0,
		LeavingTargets:   slices.Sorted(maps.Keys(d.gone)),
	}
	if r.levelled != r.seq {
		r.levelled = r.seq
		g.VirtualTimes = d.levelsFor(r)
	}
	if r.number != d.number && (r.sentNumber != d.number || r.sentAfter != r.seq) {
		// Once a report: a division's grants would repeat a large one often.
		r.sentNumber, r.sentAfter = d.number, r.seq
		g.Config = d.text
	}
	for _, name := range slices.Sorted(maps.Keys(r.slots)) {
		if n := r.slots[name]; n > 0 {
			g.Slots = append(g.Slots, message.SlotGrant{Target: name, Count: n})
		}
	}
	r.unacked = append(r.unacked, unacked{seq: r.granted, slots: maps.Clone(r.slots)})
	if len(r.unacked) > maxUnacked {
		mergeOldest(r)
	}
	d.out = append(d.out, Addressed{Router: r.key.name, Inc: r.key.inc, Grant: g})
}

const maxUnacked = 8

// mergeOldest joins the two oldest grants that wait for an answer.
func mergeOldest(r *router) {
	first, second := r.unacked[0], r.unacked[1]
	for name, n := range first.slots {
		second.slots[name] = max(second.slots[name], n)
	}
	r.unacked = slices.Delete(r.unacked, 0, 1)
}

// levelsFor returns the levels that a router needs now: those of the accounts
// that wait in it, and now and then those that changed of all that it serves.
func (d *Divider) levelsFor(r *router) []message.VirtualTime {
	const refresh = 8
	names := make([]string, 0, len(r.queues))
	for _, q := range r.queues {
		names = append(names, q.Account)
	}
	if r.granted%refresh == 1 {
		for name := range r.usage {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	levels := make([]message.VirtualTime, 0, len(names))
	for _, name := range slices.Compact(names) {
		a := d.accounts[name]
		if a == nil || !a.backlogged && a.level == r.told[name] {
			continue
		}
		r.told[name] = a.level
		others := (a.charged - r.usage[name].EstimatedCost) / a.share
		levels = append(levels, message.VirtualTime{
			Account: name, Value: roundLevel(a.level), RemoteCharge: roundLevel(max(others, 0)), FleetRatio: r.spread(a),
		})
	}
	return levels
}

// spread returns the account's work in the fleet over its work in the router.
func (r *router) spread(a *account) float64 {
	own := r.usage[a.name].Running
	for _, q := range r.queues {
		if q.Account == a.name {
			own += q.Waiting
		}
	}
	if own == 0 {
		return 1
	}
	const precision = 10
	return math.Round(precision*float64(a.waiting+a.running)/float64(own)) / precision
}

// roundLevel drops digits that no decision needs, to save bytes.
func roundLevel(v float64) float64 {
	const precision = 1e3
	return math.Round(v*precision) / precision
}
