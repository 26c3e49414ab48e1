// Package rcu shares an immutable value between goroutines by read-copy-update.
package rcu

import "sync/atomic"

// Value holds an immutable value that readers load without locks and writers replace atomically. Concurrent updates
// retry on the newest value.
type Value[T any] struct {
	pointer atomic.Pointer[T]
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
// result is stored.
func (v *Value[T]) Update(change func(T) T) T {
	for {
		old := v.pointer.Load()
		next := change(*old)
		if v.pointer.CompareAndSwap(old, &next) {
			return next
		}
	}
}
