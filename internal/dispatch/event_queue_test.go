package dispatch_test

import (
	"container/heap"
	"fmt"
	"slices"
	"time"

	"laburnumfall/internal/fleet"
)

// after schedules do after a delay.
func (sim *simulation) after(delay time.Duration, do func()) {
	sim.seq++
	heap.Push(&sim.events, scheduledEvent{at: sim.now.Add(delay), seq: sim.seq, do: do})
}

// advance runs all events that are due within a duration.
func (sim *simulation) advance(duration time.Duration) {
	end := sim.now.Add(duration)
	for len(sim.events) > 0 && !sim.events[0].at.After(end) {
		event, _ := heap.Pop(&sim.events).(scheduledEvent)
		sim.now = event.at
		event.do()
	}
	sim.now = end
}

type scheduledEvent struct {
	at  time.Time
	seq int
	do  func()
}

type eventQueue []scheduledEvent

// Len implements sort.Interface.
func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	event := old[len(old)-1]
	*q = old[:len(old)-1]
	return event
}

// newConfig returns a configuration with one event that covers all accounts and targets.
func newConfig(shares []float64, slots []int) fleet.Config {
	config := fleet.Config{Number: 1}
	event := fleet.Event{Name: "e"}
	for i, share := range shares {
		name := fmt.Sprintf("a%02d", i)
		config.Accounts = append(config.Accounts, fleet.Account{Name: name, Share: share, QueueLimit: 1 << 20})
		event.Accounts = append(event.Accounts, name)
	}
	for i, count := range slots {
		name := fmt.Sprintf("t%02d", i)
		config.Targets = append(config.Targets, fleet.Target{
			Name: name, Address: fmt.Sprintf("127.0.0.1:%d", 9000+i), Zone: "z",
			Kind: fleet.TargetEngine, Slots: count, State: fleet.TargetLive,
		})
		event.Targets = append(event.Targets, name)
	}
	config.Events = []fleet.Event{event}
	return config
}

func equalSlots(targets, perTarget int) []int {
	return slices.Repeat([]int{perTarget}, targets)
}
