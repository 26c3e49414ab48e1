package drive

import "container/heap"

// deliveries are the actions to come, the earliest first.
type deliveries struct {
	heap deliveryHeap
}

func (d *deliveries) push(next delivery) { heap.Push(&d.heap, next) }

func (d *deliveries) pop() delivery { return heap.Pop(&d.heap).(delivery) }

func (d *deliveries) peek() (delivery, bool) {
	if len(d.heap) == 0 {
		return delivery{}, false
	}
	return d.heap[0], true
}
