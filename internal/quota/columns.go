package quota

import (
	"math"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
)

// EncodeColumns converts sums to the columns that are sent to routers. Backlogs have no target
// IDs, since both sides have the same ordered list of targets.
func EncodeColumns(demand []message.Demand, backlog []message.Backlog, targets []fleet.Instance) message.Loads {
	var loads message.Loads
	for _, d := range demand {
		loads.Accounts = append(loads.Accounts, d.Account)
		loads.Rates = append(loads.Rates, int(math.Round(d.Rate)))
		loads.Served = append(loads.Served, int(math.Round(d.Served)))
	}
	index := indexBacklogs(backlog)
	loads.Tokens, loads.Running = make([]int, len(targets)), make([]int, len(targets))
	for i, t := range targets {
		b := index.lookup(t.Incarnation)
		loads.Tokens[i], loads.Running[i] = b.Tokens, b.Running
		if b.Held > 0 {
			if loads.Held == nil {
				loads.Held = make([]int, len(targets))
			}
			loads.Held[i] = (b.Held + message.HeldUnit - 1) / message.HeldUnit
		}
	}
	return loads
}

// DecodeColumns is the inverse of EncodeColumns. It leaves out columns whose length does not
// match that of their accounts or targets.
func DecodeColumns(loads message.Loads, targets []fleet.Instance) ([]message.Demand, []message.Backlog) {
	var demand []message.Demand
	if len(loads.Rates) == len(loads.Accounts) && len(loads.Served) == len(loads.Accounts) {
		for i, name := range loads.Accounts {
			if loads.Rates[i] == 0 && loads.Served[i] == 0 {
				continue
			}
			demand = append(demand, message.Demand{Account: name, Rate: float64(loads.Rates[i]), Served: float64(loads.Served[i])})
		}
	}
	var backlog []message.Backlog
	if len(loads.Tokens) == len(targets) && len(loads.Running) == len(targets) {
		for i, t := range targets {
			if loads.Tokens[i] > 0 || loads.Running[i] > 0 {
				b := message.NewBacklog(t.Incarnation, loads.Tokens[i], loads.Running[i])
				if len(loads.Held) == len(targets) {
					b.Held = max(loads.Held[i], 0) * message.HeldUnit
				}
				backlog = append(backlog, b)
			}
		}
	}
	return demand, backlog
}

// A backlogIndex finds backlogs by target ID, and by incarnation if any entry has a start time.
// The second map is only built then, because it costs as much as the first.
type backlogIndex struct {
	byID          map[string]message.Backlog
	byIncarnation map[fleet.Incarnation]message.Backlog
}

func indexBacklogs(list []message.Backlog) backlogIndex {
	index := backlogIndex{byID: make(map[string]message.Backlog, len(list))}
	for _, entry := range list {
		index.byID[entry.Target] = entry.Add(index.byID[entry.Target])
		if entry.StartMillis != 0 && index.byIncarnation == nil {
			index.byIncarnation = make(map[fleet.Incarnation]message.Backlog, len(list))
		}
	}
	if index.byIncarnation == nil {
		return index
	}
	for _, entry := range list {
		index.byIncarnation[entry.Incarnation()] = entry.Add(index.byIncarnation[entry.Incarnation()])
	}
	return index
}

// lookup returns the backlog of a target. Entries for another incarnation do not count: that
// backlog ended with it. Entries without a start time, from routers or keepers of the previous
// version, count for any incarnation.
func (b backlogIndex) lookup(target fleet.Incarnation) message.Backlog {
	sum := message.NewBacklog(target, 0, 0)
	if target.StartMillis == 0 || b.byIncarnation == nil {
		return sum.Add(b.byID[target.ID])
	}
	return sum.Add(b.byIncarnation[target]).Add(b.byIncarnation[fleet.Incarnation{ID: target.ID}])
}
