package quota

import (
	"math"

	"laburnumfall/internal/fleet"
	"laburnumfall/internal/message"
)

// Columns puts sums in the form in which they are sent: without the names of
// targets, which both ends know in the same order.
func Columns(demand []message.Demand, backlog []message.Backlog, targets []fleet.Instance) message.Loads {
	var l message.Loads
	for _, d := range demand {
		l.Accounts = append(l.Accounts, d.Account)
		l.Rates = append(l.Rates, int(math.Round(d.Rate)))
		l.Served = append(l.Served, int(math.Round(d.Served)))
	}
	byTarget := make(map[string]message.Backlog, len(backlog))
	for _, b := range backlog {
		byTarget[b.Target] = b
	}
	l.Tokens, l.Running = make([]int, len(targets)), make([]int, len(targets))
	for i, t := range targets {
		b := byTarget[t.ID]
		l.Tokens[i], l.Running[i] = b.Tokens, b.Running
	}
	return l
}

// Rows gives the sums back. Backlogs are left out where the columns are not those of
// the targets.
func Rows(l message.Loads, targets []fleet.Instance) ([]message.Demand, []message.Backlog) {
	var demand []message.Demand
	if len(l.Rates) == len(l.Accounts) && len(l.Served) == len(l.Accounts) {
		for i, name := range l.Accounts {
			demand = append(demand, message.Demand{Account: name, Rate: float64(l.Rates[i]), Served: float64(l.Served[i])})
		}
	}
	var backlog []message.Backlog
	if len(l.Tokens) == len(targets) && len(l.Running) == len(targets) {
		for i, t := range targets {
			if l.Tokens[i] > 0 || l.Running[i] > 0 {
				backlog = append(backlog, message.Backlog{Target: t.ID, Tokens: l.Tokens[i], Running: l.Running[i]})
			}
		}
	}
	return demand, backlog
}
