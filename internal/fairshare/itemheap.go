package fairshare

// itemHeap is a heap of items ordered by ServeBy, then by ID.
type itemHeap []*Item

// Len implements sort.Interface.
func (h itemHeap) Len() int { return len(h) }

// Less implements sort.Interface.
func (h itemHeap) Less(i, j int) bool {
	if !h[i].ServeBy.Equal(h[j].ServeBy) {
		return h[i].ServeBy.Before(h[j].ServeBy)
	}
	return h[i].ID < h[j].ID
}

// Swap implements sort.Interface.
func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) {
	item, ok := x.(*Item)
	if !ok {
		return
	}
	item.heapIndex = len(*h)
	*h = append(*h, item)
}

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	old := *h
	item := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return item
}
