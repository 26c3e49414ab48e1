// Package timeline runs actions at their virtual times.
package timeline

import (
	"container/heap"
	"time"
)

// Timeline is a virtual clock and the actions to come. It is not safe for use by several goroutines.
type Timeline struct {
	now      time.Time
	sequence int64
	heap     actionHeap
}

// New returns a timeline that starts at a time.
func New(start time.Time) *Timeline { return &Timeline{now: start} }

// Now returns the virtual time.
func (t *Timeline) Now() time.Time { return t.now }

// After schedules an action. Actions at the same time run in the order in which they were scheduled.
func (t *Timeline) After(delay time.Duration, act func()) {
	t.sequence++
	heap.Push(&t.heap, action{at: t.now.Add(delay), sequence: t.sequence, act: act})
}

// Run lets time pass and runs what is due.
func (t *Timeline) Run(length time.Duration) {
	end := t.now.Add(length)
	for len(t.heap) > 0 && !t.heap[0].at.After(end) {
		next := heap.Pop(&t.heap).(action)
		t.now = next.at
		next.act()
	}
	t.now = end
}
