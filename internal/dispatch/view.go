package dispatch

import (
	"maps"
	"slices"
	"time"
)

// A View is a router's state as shown to operators.
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

// An AccountView is one account in a View. Service is the settled cost of its requests through this
// router since the router started.
type AccountView struct {
	Name    string  `json:"name"`
	Waiting int     `json:"waiting"`
	Running int     `json:"running"`
	Service float64 `json:"service"`
}

// A TargetView is one target on which the router leases slots or runs requests.
type TargetView struct {
	Name  string `json:"name"`
	Slots int    `json:"slots"`
	Busy  int    `json:"busy"`
}

// View returns the router's state for operators.
func (s *Scheduler) View(now time.Time) View {
	view := View{
		Name: s.Name, Number: s.config.Number, Digest: s.configDigest, Leased: s.HasLease(now),
		Stopping: s.stopping, Term: s.term, Accounts: []AccountView{}, Targets: []TargetView{},
	}
	byName := make(map[string]AccountView)
	for _, usage := range s.queues.Usage() {
		byName[usage.Account] = AccountView{Name: usage.Account, Running: usage.Running, Service: usage.Served}
	}
	for _, account := range s.config.Accounts {
		accountView := byName[account.Name]
		accountView.Name = account.Name
		accountView.Waiting = s.queues.WaitingOfAccount(account.Name)
		view.Accounts = append(view.Accounts, accountView)
	}
	for _, name := range slices.Sorted(maps.Keys(s.targets)) {
		if target := s.targets[name]; target.slots > 0 || target.busy > 0 {
			view.Targets = append(view.Targets, TargetView{Name: name, Slots: target.slots, Busy: target.busy})
		}
	}
	return view
}

// DeadlineCount returns the number of deadlines kept. It is bounded by the number of unanswered
// requests, not by the number of requests ever received.
func (s *Scheduler) DeadlineCount() int {
	return len(s.deadlines.items)
}
