// Package rcu shares an immutable value between goroutines by read-copy-update.
package rcu

import (
	"sync"
	"sync/atomic"
)

// maxFreeAttempts is how often an update is tried before it takes turns with others.
const maxFreeAttempts = 2

// Value holds an immutable value that readers load without locks and writers replace atomically. Concurrent updates
// retry on the newest value. Those that have failed several times take turns, and others wait for them, so that long
// changes are not starved by short ones.
type Value[T any] struct {
	pointer atomic.Pointer[T]
	// takingTurns counts the updates that hold turn or wait for it.
	takingTurns atomic.Int32
	turn        sync.Mutex
}

// New returns a Value that holds v.
func New[T any](v T) *Value[T] {
	value := &Value[T]{}
	value.pointer.Store(&v)
	return value
}

// Load returns the current value.
func (v *Value[T]) Load() T { return *v.pointer.Load() }

// Read returns a pointer to the current value, without a copy. The caller must not modify it.
func (v *Value[T]) Read() *T { return v.pointer.Load() }

// Store replaces the value.
func (v *Value[T]) Store(next T) { v.pointer.Store(&next) }

// Update replaces the value with the result of change and returns it. change may run several times; only the last
// result is stored. It must not update the same Value.
func (v *Value[T]) Update(change func(T) T) T {
	for range maxFreeAttempts {
		if v.takingTurns.Load() > 0 {
			break
		}
		if next, ok := v.tryUpdate(change); ok {
			return next
		}
	}
	v.takingTurns.Add(1)
	defer v.takingTurns.Add(-1)
	v.turn.Lock()
	defer v.turn.Unlock()
	for {
		if next, ok := v.tryUpdate(change); ok {
			return next
		}
	}
}

// tryUpdate makes one attempt, and reports whether no other update came between.
func (v *Value[T]) tryUpdate(change func(T) T) (T, bool) {
	old := v.pointer.Load()
	next := change(*old)
	return next, v.pointer.CompareAndSwap(old, &next)
}
