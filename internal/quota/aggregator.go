package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
)

// reportMemory is how long a router's report counts. Some times the period in
// which routers renew.
const reportMemory = 1500 * time.Millisecond

// An Aggregator is the leader's sum of what routers report. It is soft: a new leader
// has it again after one period. Its zero value is empty.
type Aggregator struct {
	routers  map[string]*reported
	demand   []message.Demand // sums, as of summedAt
	backlog  []message.Backlog
	summedAt time.Time
}

// reported is the newest report of one router.
type reported struct {
	at      time.Time
	demand  []message.Demand
	backlog []message.Backlog
}

// Report takes what a router asks for and what of its requests waits at targets.
func (b *Aggregator) Report(now time.Time, router string, demand []message.Demand, backlog []message.Backlog) {
	if b.routers == nil {
		b.routers = make(map[string]*reported)
	}
	b.routers[router] = &reported{at: now, demand: demand, backlog: backlog}
}

// forget drops reports that count no longer. It is done for each sum, not for each report:
// that would take a leader time with the square of the routers.
func (b *Aggregator) forget(now time.Time) {
	for name, r := range b.routers {
		if now.Sub(r.at) > reportMemory {
			delete(b.routers, name)
		}
	}
}

// Sums returns what accounts ask for and what targets have been sent, through all
// routers, and when they were worked out: every sumPeriod, not for each answer.
func (b *Aggregator) Sums(now time.Time) ([]message.Demand, []message.Backlog, time.Time) {
	if b.summedAt.IsZero() || now.Sub(b.summedAt) >= sumPeriod(len(b.routers)) {
		b.forget(now)
		b.demand, b.backlog, b.summedAt = b.sumDemand(), b.sumBacklog(), now
	}
	return b.demand, b.backlog, b.summedAt
}

func (b *Aggregator) sumDemand() []message.Demand {
	sums := make(map[string]message.Demand)
	for _, r := range b.routers {
		for _, d := range r.demand {
			sum := sums[d.Account]
			sums[d.Account] = message.Demand{Account: d.Account, Rate: sum.Rate + d.Rate, Served: sum.Served + d.Served}
		}
	}
	return inOrder(sums)
}

func (b *Aggregator) sumBacklog() []message.Backlog {
	sums := make(map[fleet.Incarnation]message.Backlog)
	for _, r := range b.routers {
		for _, l := range r.backlog {
			sums[l.Of()] = l.Plus(sums[l.Of()])
		}
	}
	return slices.SortedFunc(maps.Values(sums), func(a, b message.Backlog) int {
		return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Born, b.Born))
	})
}

// ExcludeOwn returns what targets have been sent by all others than the router that
// has reported mine. A sum may be older than that by sumPeriod.
func ExcludeOwn(all, mine []message.Backlog) []message.Backlog {
	own := byTarget(mine)
	others := make([]message.Backlog, 0, len(all))
	for _, a := range all {
		m := own.of(a.Of())
		left := message.BacklogOf(a.Of(), max(a.Tokens-m.Tokens, 0), max(a.Running-m.Running, 0))
		if left.Tokens > 0 || left.Running > 0 {
			others = append(others, left)
		}
	}
	return others
}

// inOrder returns the values in the order of their keys, so that equal states
// give equal messages.
func inOrder[T any](byKey map[string]T) []T {
	list := make([]T, 0, len(byKey))
	for _, key := range slices.Sorted(maps.Keys(byKey)) {
		list = append(list, byKey[key])
	}
	return list
}
