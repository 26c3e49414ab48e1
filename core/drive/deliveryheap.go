package drive

// deliveryHeap implements [heap.Interface].
type deliveryHeap []delivery

// Len implements [heap.Interface].
func (h deliveryHeap) Len() int { return len(h) }

// Less implements [heap.Interface].
func (h deliveryHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].at.Before(h[j].at)
}

// Swap implements [heap.Interface].
func (h deliveryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements [heap.Interface].
func (h *deliveryHeap) Push(x any) { *h = append(*h, x.(delivery)) }

// Pop implements [heap.Interface].
func (h *deliveryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
