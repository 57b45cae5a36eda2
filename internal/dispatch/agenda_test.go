package dispatch_test

import (
	"container/heap"
	"fmt"
	"slices"
	"time"

	"laburnumfall/internal/fleet"
)

// at plans f.
func (w *world) at(in time.Duration, f func()) {
	w.seq++
	heap.Push(&w.agenda, plan{at: w.now.Add(in), seq: w.seq, do: f})
}

// run until a time.
func (w *world) pass(span time.Duration) {
	end := w.now.Add(span)
	for len(w.agenda) > 0 && !w.agenda[0].at.After(end) {
		p, _ := heap.Pop(&w.agenda).(plan)
		w.now = p.at
		p.do()
	}
	w.now = end
}

type plan struct {
	at  time.Time
	seq int
	do  func()
}

type agenda []plan

// Len implements sort.Interface.
func (a agenda) Len() int { return len(a) }

func (a agenda) Less(i, j int) bool {
	if !a[i].at.Equal(a[j].at) {
		return a[i].at.Before(a[j].at)
	}
	return a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(plan)) }
func (a *agenda) Pop() any {
	old := *a
	p := old[len(old)-1]
	*a = old[:len(old)-1]
	return p
}

// configOf makes a configuration with one event over all targets.
func configOf(shares []float64, slots []int) fleet.Config {
	c := fleet.Config{Number: 1}
	e := fleet.Event{Name: "e"}
	for i, s := range shares {
		name := fmt.Sprintf("a%02d", i)
		c.Accounts = append(c.Accounts, fleet.Account{Name: name, Share: s, QueueLimit: 1 << 20})
		e.Accounts = append(e.Accounts, name)
	}
	for i, n := range slots {
		name := fmt.Sprintf("t%02d", i)
		c.Targets = append(c.Targets, fleet.Target{
			Name: name, Address: fmt.Sprintf("127.0.0.1:%d", 9000+i), Zone: "z",
			Kind: fleet.TargetEngine, Slots: n, State: fleet.TargetLive,
		})
		e.Targets = append(e.Targets, name)
	}
	c.Events = []fleet.Event{e}
	return c
}

func slotsOf(targets, each int) []int {
	return slices.Repeat([]int{each}, targets)
}
