package task

import (
	"context"
	"time"
)

// Sleep waits until the time is over or the context ends, and reports whether the time is over.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
