package ownership

import (
	"time"

	"redwingsill/core/command"
)

// renewal is the grants of one range.
type renewal struct {
	id       int64
	owner    string
	fence    int64
	sentAt   time.Time
	isOpen   bool
	handover string
	// movedAt is when the owner got the range.
	movedAt time.Time
	// isNew says that the owner has not acknowledged the range yet.
	isNew bool
}

// withEnd returns the renewal after its grant has ended.
func (g renewal) withEnd(result command.Result, t Terms, now time.Time) renewal {
	g.isOpen = false
	switch result {
	case command.Done:
		g.handover, g.isNew = "", false
	case command.Lost, command.Unsent, command.Invalid:
		g.sentAt = now.Add(t.Retry - t.Renew)
	case command.Stale:
	}
	return g
}

// isDue reports whether the grant should be sent.
func (g renewal) isDue(t Terms, now time.Time) bool {
	if g.isOpen {
		return now.Sub(g.sentAt) >= t.CallTimeout
	}
	return now.Sub(g.sentAt) >= t.Renew
}
