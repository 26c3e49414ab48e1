package logging

import (
	"sync/atomic"
	"time"
)

// limiter limits the rate of the log lines with one message. Its methods are safe for concurrent use; concurrent calls
// at the start of a second may allow a few lines more than the limit.
type limiter struct {
	// second is the Unix time of the current second, and count is the number of lines in that second.
	second, count atomic.Int64
	// suppressed counts all suppressed lines, and reported counts those that takeSuppressed has returned.
	suppressed, reported atomic.Int64
}

// allow counts one line and reports whether it is within the limit of the current second.
func (l *limiter) allow(now time.Time) bool {
	if second := now.Unix(); l.second.Swap(second) != second {
		l.count.Store(0)
	}
	if l.count.Add(1) <= maxLinesPerSecond {
		return true
	}
	l.suppressed.Add(1)
	return false
}

// takeSuppressed returns the number of lines suppressed since the last call.
func (l *limiter) takeSuppressed() int64 {
	total := l.suppressed.Load()
	return total - l.reported.Swap(total)
}
