package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
)

// reportLifetime is how long a router's report counts: three times the longest period between two
// reports.
const reportLifetime = 1500 * time.Millisecond

// An Aggregator sums the load reports of all routers on the leader. It is not persisted: a new
// leader has all reports after one period. The zero value is empty.
type Aggregator struct {
	reports  map[string]*routerReport
	demand   []message.Demand // sums, as of summedAt
	backlog  []message.Backlog
	summedAt time.Time
}

// A routerReport is the latest report of one router.
type routerReport struct {
	receivedAt time.Time
	demand     []message.Demand
	backlog    []message.Backlog
}

// Report replaces a router's report: the demand of accounts through that router, and the requests
// that it has outstanding at targets.
func (a *Aggregator) Report(now time.Time, router string, demand []message.Demand, backlog []message.Backlog) {
	if a.reports == nil {
		a.reports = make(map[string]*routerReport)
	}
	a.reports[router] = &routerReport{receivedAt: now, demand: demand, backlog: backlog}
}

// dropExpired removes expired reports. It runs once per sum: running it for each report would
// take time quadratic in the number of routers.
func (a *Aggregator) dropExpired(now time.Time) {
	for name, r := range a.reports {
		if now.Sub(r.receivedAt) > reportLifetime {
			delete(a.reports, name)
		}
	}
}

// Sums returns the demand of accounts and the backlog of targets over all routers, and when they
// were computed. They are recomputed once per sumPeriod rather than for each call.
func (a *Aggregator) Sums(now time.Time) ([]message.Demand, []message.Backlog, time.Time) {
	if a.summedAt.IsZero() || now.Sub(a.summedAt) >= sumPeriod(len(a.reports)) {
		a.dropExpired(now)
		a.demand, a.backlog, a.summedAt = a.sumDemand(), a.sumBacklog(), now
	}
	return a.demand, a.backlog, a.summedAt
}

func (a *Aggregator) sumDemand() []message.Demand {
	sums := make(map[string]message.Demand)
	for _, r := range a.reports {
		for _, d := range r.demand {
			sum := sums[d.Account]
			sums[d.Account] = message.Demand{Account: d.Account, Rate: sum.Rate + d.Rate, Served: sum.Served + d.Served}
		}
	}
	return sortedValues(sums)
}

// TotalRates returns the load that all accounts offer, and the part that is sent to targets, in tokens per
// second.
func TotalRates(demand []message.Demand) (offered, sent float64) {
	for _, d := range demand {
		offered += d.Rate
		sent += d.Served
	}
	return offered, sent
}

func (a *Aggregator) sumBacklog() []message.Backlog {
	sums := make(map[fleet.Incarnation]message.Backlog)
	for _, r := range a.reports {
		for _, entry := range r.backlog {
			sum := sums[entry.Incarnation()]
			parts := append(sum.Parts, entry.Parts...) // the sum owns its list, so that it grows in place
			sum = entry.Add(sum)
			sum.Parts = parts
			sums[entry.Incarnation()] = sum
		}
	}
	for target, sum := range sums {
		if len(sum.Parts) > 0 {
			sums[target] = sum.WithPartsHeld()
		}
	}
	return slices.SortedFunc(maps.Values(sums), func(a, b message.Backlog) int {
		return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.StartMillis, b.StartMillis))
	})
}

// ExcludeOwn returns the fleet's total backlog without the backlog that one router has reported
// itself. The total may be older than the router's report by sumPeriod, so differences below zero
// count as zero. Shared parts of running requests stay in the total: others may use them as well.
func ExcludeOwn(all, mine []message.Backlog) []message.Backlog {
	index := indexBacklogs(mine)
	others := make([]message.Backlog, 0, len(all))
	for _, total := range all {
		own := index.lookup(total.Incarnation())
		remaining := message.NewBacklog(total.Incarnation(), max(total.Tokens-own.Tokens, 0), max(total.Running-own.Running, 0))
		remaining.Held = max(total.Held-own.Held, 0)
		if remaining.Tokens > 0 || remaining.Running > 0 {
			others = append(others, remaining)
		}
	}
	return others
}

// sortedValues returns the values sorted by key, so that equal states produce equal messages.
func sortedValues[T any](byKey map[string]T) []T {
	list := make([]T, 0, len(byKey))
	for _, key := range slices.Sorted(maps.Keys(byKey)) {
		list = append(list, byKey[key])
	}
	return list
}
