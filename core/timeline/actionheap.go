package timeline

// actionHeap is a min-heap of actions by due time and sequence. It implements [heap.Interface].
type actionHeap []action

// Len implements [heap.Interface].
func (h actionHeap) Len() int { return len(h) }

// Less implements [heap.Interface].
func (h actionHeap) Less(i, j int) bool {
	if h[i].dueAt.Equal(h[j].dueAt) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].dueAt.Before(h[j].dueAt)
}

// Swap implements [heap.Interface].
func (h actionHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements [heap.Interface].
func (h *actionHeap) Push(x any) { *h = append(*h, x.(action)) }

// Pop implements [heap.Interface].
func (h *actionHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
