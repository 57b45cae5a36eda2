package quota

import (
	"maps"
	"slices"
	"time"

	"laburnumfall/internal/message"
)

// reportMemory is how long a router's report counts. Some times the period in
// which routers renew.
const reportMemory = 1500 * time.Millisecond

// A Board is the leader's sum of what routers report. It is soft: a new leader
// has it again after one period. Its zero value is empty.
type Board struct {
	routers map[string]*reported
}

// reported is the newest report of one router.
type reported struct {
	at      time.Time
	demand  []message.Demand
	backlog []message.Backlog
}

// Report takes what a router asks for and what of its requests waits at targets.
func (b *Board) Report(now time.Time, router string, demand []message.Demand, backlog []message.Backlog) {
	if b.routers == nil {
		b.routers = make(map[string]*reported)
	}
	b.routers[router] = &reported{at: now, demand: demand, backlog: backlog}
	for name, r := range b.routers {
		if now.Sub(r.at) > reportMemory {
			delete(b.routers, name)
		}
	}
}

// Demand returns what each account asks for through all routers.
func (b *Board) Demand() []message.Demand {
	sums := make(map[string]message.Demand)
	for _, r := range b.routers {
		for _, d := range r.demand {
			sum := sums[d.Account]
			sums[d.Account] = message.Demand{Account: d.Account, Rate: sum.Rate + d.Rate, Served: sum.Served + d.Served}
		}
	}
	return inOrder(sums)
}

// Others returns what each target has been sent by all routers but one.
func (b *Board) Others(router string) []message.Backlog {
	sums := make(map[string]message.Backlog)
	for name, r := range b.routers {
		if name == router {
			continue
		}
		for _, l := range r.backlog {
			sum := sums[l.Target]
			sums[l.Target] = message.Backlog{Target: l.Target, Tokens: sum.Tokens + l.Tokens, Running: sum.Running + l.Running}
		}
	}
	return inOrder(sums)
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
