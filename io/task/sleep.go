package task

import (
	"context"
	"time"
)

// Sleep waits for d or until the context is cancelled. It reports whether it waited for d.
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
