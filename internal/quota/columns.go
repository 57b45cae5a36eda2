package quota

import (
	"math"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
)

// EncodeColumns puts sums in the form in which they are sent: without the names of
// targets, which both ends know in the same order.
func EncodeColumns(demand []message.Demand, backlog []message.Backlog, targets []fleet.Instance) message.Loads {
	var l message.Loads
	for _, d := range demand {
		l.Accounts = append(l.Accounts, d.Account)
		l.Rates = append(l.Rates, int(math.Round(d.Rate)))
		l.Served = append(l.Served, int(math.Round(d.Served)))
	}
	known := byTarget(backlog)
	l.Tokens, l.Running = make([]int, len(targets)), make([]int, len(targets))
	for i, t := range targets {
		b := known.of(t.Incarnation)
		l.Tokens[i], l.Running[i] = b.Tokens, b.Running
	}
	return l
}

// DecodeColumns gives the sums back. Backlogs are left out where the columns are not those of
// the targets.
func DecodeColumns(l message.Loads, targets []fleet.Instance) ([]message.Demand, []message.Backlog) {
	var demand []message.Demand
	if len(l.Rates) == len(l.Accounts) && len(l.Served) == len(l.Accounts) {
		for i, name := range l.Accounts {
			if l.Rates[i] == 0 && l.Served[i] == 0 {
				continue
			}
			demand = append(demand, message.Demand{Account: name, Rate: float64(l.Rates[i]), Served: float64(l.Served[i])})
		}
	}
	var backlog []message.Backlog
	if len(l.Tokens) == len(targets) && len(l.Running) == len(targets) {
		for i, t := range targets {
			if l.Tokens[i] > 0 || l.Running[i] > 0 {
				backlog = append(backlog, message.BacklogOf(t.Incarnation, l.Tokens[i], l.Running[i]))
			}
		}
	}
	return demand, backlog
}

// backlogs are backlogs by the ID of their targets, and by the run where any tells it:
// a second map costs as much again.
type backlogs struct {
	ids  map[string]message.Backlog
	runs map[fleet.Incarnation]message.Backlog
}

func byTarget(list []message.Backlog) backlogs {
	b := backlogs{ids: make(map[string]message.Backlog, len(list))}
	for _, l := range list {
		b.ids[l.Target] = l.Plus(b.ids[l.Target])
		if l.Born != 0 && b.runs == nil {
			b.runs = make(map[fleet.Incarnation]message.Backlog, len(list))
		}
	}
	if b.runs == nil {
		return b
	}
	for _, l := range list {
		b.runs[l.Of()] = l.Plus(b.runs[l.Of()])
	}
	return b
}

// of returns the backlog of a target. What was sent to another start of it is gone with
// that, and does not count. Where a start is not told, by a router or keeper of the
// version before, it counts as the same.
func (b backlogs) of(target fleet.Incarnation) message.Backlog {
	sum := message.BacklogOf(target, 0, 0)
	if target.Born == 0 || b.runs == nil {
		return sum.Plus(b.ids[target.ID])
	}
	return sum.Plus(b.runs[target]).Plus(b.runs[fleet.Incarnation{ID: target.ID}])
}
