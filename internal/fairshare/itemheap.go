package fairshare

// itemHeap orders items by Order, then by ID.
type itemHeap []*Item

// Len implements sort.Interface.
func (h itemHeap) Len() int { return len(h) }

// Less implements sort.Interface.
func (h itemHeap) Less(i, j int) bool {
	if !h[i].Order.Equal(h[j].Order) {
		return h[i].Order.Before(h[j].Order)
	}
	return h[i].ID < h[j].ID
}

// Swap implements sort.Interface.
func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place = i
	h[j].place = j
}

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) {
	it, ok := x.(*Item)
	if !ok {
		return
	}
	it.place = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return it
}
