package logging

import (
	"sync"
	"time"
)

// limiters holds one limiter for each message that was logged so far. It never removes any: messages are constants, so
// their number is limited.
type limiters struct {
	now       func() time.Time
	byMessage sync.Map // message -> *limiter
}

func newLimiters(now func() time.Time) *limiters { return &limiters{now: now} }

func (l *limiters) forMessage(message string) *limiter {
	if found, ok := l.byMessage.Load(message); ok {
		return found.(*limiter)
	}
	found, _ := l.byMessage.LoadOrStore(message, &limiter{})
	return found.(*limiter)
}

// takeSuppressed returns the number of lines suppressed since the last call, by message.
func (l *limiters) takeSuppressed() map[string]int64 {
	lines := map[string]int64{}
	l.byMessage.Range(func(message, value any) bool {
		if n := value.(*limiter).takeSuppressed(); n > 0 {
			lines[message.(string)] = n
		}
		return true
	})
	return lines
}

// suppressed returns the number of lines suppressed since the start.
func (l *limiters) suppressed() int64 {
	sum := int64(0)
	l.byMessage.Range(func(_, value any) bool {
		sum += value.(*limiter).suppressed.Load()
		return true
	})
	return sum
}
