// Package rcu shares an immutable value between goroutines without locks.
package rcu

import "sync/atomic"

// Value is a value that readers load and writers replace. Writers that race repeat their update on the newer value.
type Value[T any] struct {
	pointer atomic.Pointer[T]
}

// New returns a value that holds v.
func New[T any](v T) *Value[T] {
	value := &Value[T]{}
	value.pointer.Store(&v)
	return value
}

// Load returns the present value.
func (v *Value[T]) Load() T { return *v.pointer.Load() }

// Read returns the present value for reading only, without a copy.
func (v *Value[T]) Read() *T { return v.pointer.Load() }

// Store replaces the value.
func (v *Value[T]) Store(next T) { v.pointer.Store(&next) }

// Update replaces the value by what step makes of it. The step may run more than once, and only its last result counts.
func (v *Value[T]) Update(step func(T) T) T {
	for {
		old := v.pointer.Load()
		next := step(*old)
		if v.pointer.CompareAndSwap(old, &next) {
			return next
		}
	}
}
