package logging

import (
	"sync/atomic"
	"time"
)

// kind counts the lines of one kind. Its methods may be called at the same time; a few lines too many may pass as a second
// begins.
type kind struct {
	second, count  atomic.Int64
	left, reported atomic.Int64
}

// admit reports whether one more line may be written, and counts it.
func (k *kind) admit(now time.Time) bool {
	if second := now.Unix(); k.second.Swap(second) != second {
		k.count.Store(0)
	}
	if k.count.Add(1) <= perKind {
		return true
	}
	k.left.Add(1)
	return false
}

// report returns the lines that were left out since the last report.
func (k *kind) report() int64 {
	left := k.left.Load()
	return left - k.reported.Swap(left)
}
