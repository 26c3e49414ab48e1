// Package timeline implements a discrete-event scheduler with a virtual clock.
package timeline

import (
	"container/heap"
	"time"
)

// Timeline is a virtual clock with a queue of scheduled actions. It is not safe for concurrent use.
type Timeline struct {
	now          time.Time
	lastSequence int64
	actions      actionHeap
}

// New returns a timeline whose clock shows start.
func New(start time.Time) *Timeline { return &Timeline{now: start} }

// Now returns the virtual time.
func (t *Timeline) Now() time.Time { return t.now }

// After schedules a call of run once delay has passed. Actions due at the same time run in the order of scheduling.
func (t *Timeline) After(delay time.Duration, run func()) {
	t.lastSequence++
	heap.Push(&t.actions, action{dueAt: t.now.Add(delay), sequence: t.lastSequence, run: run})
}

// Advance moves the clock forward by length and runs the actions that come due, each at its own virtual time.
func (t *Timeline) Advance(length time.Duration) {
	end := t.now.Add(length)
	for len(t.actions) > 0 && !t.actions[0].dueAt.After(end) {
		next := heap.Pop(&t.actions).(action)
		t.now = next.dueAt
		next.run()
	}
	t.now = end
}
