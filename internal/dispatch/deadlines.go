package dispatch

import (
	"container/heap"
	"slices"
	"time"
)

// deadlineHeap orders requests by deadline. It may hold requests that have ended; callers check
// that a request it returns still waits.
type deadlineHeap struct {
	items     deadlineItems
	sweepSize int
}

type deadlineItem struct {
	at time.Time
	id uint64
}

// push adds a deadline. Clients may set deadlines years ahead, so entries of requests that are no
// longer alive are removed before the heap doubles.
func (h *deadlineHeap) push(at time.Time, id uint64, alive func(uint64) bool) {
	if len(h.items) >= max(h.sweepSize, minSweepSize) {
		h.items = slices.DeleteFunc(h.items, func(item deadlineItem) bool { return !alive(item.id) })
		heap.Init(&h.items)
		h.sweepSize = 2 * len(h.items)
	}
	heap.Push(&h.items, deadlineItem{at: at, id: id})
}

const minSweepSize = 1024

func (h *deadlineHeap) first() (time.Time, bool) {
	if len(h.items) == 0 {
		return time.Time{}, false
	}
	return h.items[0].at, true
}

// due removes and returns the requests whose deadline has passed.
func (h *deadlineHeap) due(now time.Time) []uint64 {
	var ids []uint64
	for len(h.items) > 0 && !now.Before(h.items[0].at) {
		item, _ := heap.Pop(&h.items).(deadlineItem)
		ids = append(ids, item.id)
	}
	return ids
}

type deadlineItems []deadlineItem

// Len implements sort.Interface.
func (d deadlineItems) Len() int { return len(d) }

// Less implements sort.Interface.
func (d deadlineItems) Less(i, j int) bool { return d[i].at.Before(d[j].at) }

// Swap implements sort.Interface.
func (d deadlineItems) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

// Push implements heap.Interface.
func (d *deadlineItems) Push(x any) {
	item, _ := x.(deadlineItem)
	*d = append(*d, item)
}

// Pop implements heap.Interface.
func (d *deadlineItems) Pop() any {
	old := *d
	item := old[len(old)-1]
	*d = old[:len(old)-1]
	return item
}
