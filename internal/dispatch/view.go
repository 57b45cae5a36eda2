package dispatch

import (
	"maps"
	"slices"
	"time"
)

// A View is a router's state as operators see it.
type View struct {
	Name     string        `json:"name"`
	Number   uint64        `json:"number"`
	Digest   string        `json:"digest"`
	Leased   bool          `json:"leased"`
	Stopping bool          `json:"stopping"`
	Term     uint64        `json:"term"`
	Accounts []AccountView `json:"accounts"`
	Targets  []TargetView  `json:"targets"`
}

// An AccountView is one account in a View. Service is the settled cost through
// this router since its start.
type AccountView struct {
	Name    string  `json:"name"`
	Waiting int     `json:"waiting"`
	Running int     `json:"running"`
	Service float64 `json:"service"`
}

// A TargetView is one target on which the router holds slots.
type TargetView struct {
	Name  string `json:"name"`
	Slots int    `json:"slots"`
	Busy  int    `json:"busy"`
}

// View returns the state for operators.
func (s *Scheduler) View(now time.Time) View {
	v := View{
		Name: s.Name, Number: s.config.Number, Digest: s.digest, Leased: s.HasLease(now),
		Stopping: s.stopping, Term: s.term, Accounts: []AccountView{}, Targets: []TargetView{},
	}
	byName := make(map[string]AccountView)
	for _, u := range s.queues.Usage() {
		byName[u.Account] = AccountView{Name: u.Account, Running: u.Running, Service: u.Served}
	}
	for _, a := range s.config.Accounts {
		view := byName[a.Name]
		view.Name = a.Name
		view.Waiting = s.queues.WaitingOf(a.Name)
		v.Accounts = append(v.Accounts, view)
	}
	for _, name := range slices.Sorted(maps.Keys(s.targets)) {
		if t := s.targets[name]; t.cap > 0 || t.use > 0 {
			v.Targets = append(v.Targets, TargetView{Name: name, Slots: t.cap, Busy: t.use})
		}
	}
	return v
}

// DeadlineCount returns the number of deadlines kept. It is bounded by the
// requests that are unanswered, not by those that ever came.
func (s *Scheduler) DeadlineCount() int {
	return len(s.deadlines.items)
}
