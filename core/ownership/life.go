package ownership

import (
	"maps"
	"time"

	"redwingsill/core/command"
	"redwingsill/core/instance"
)

// life is what the coordinator knows of one life of a backend server.
type life struct {
	instance instance.Instance
	// until is until when the grants that have or may have arrived hold, and open the same for those under way.
	until time.Time
	open  map[int64]time.Time
	// lateUntil is until when a grant without an answer may take effect and hold.
	lateUntil time.Time
	// isOver says that the life has ended, and with it all that it held.
	isOver bool
}

// holdsUntil returns until when any grant that may have arrived holds, or the zero time.
func (l life) holdsUntil() time.Time {
	at := l.until
	for _, until := range l.open {
		at = latest(at, until)
	}
	return at
}

// withOpen returns the life with grants under way that hold until a time.
func (l life) withOpen(until time.Time, ids ...int64) life {
	next := make(map[int64]time.Time, len(l.open)+len(ids))
	maps.Copy(next, l.open)
	for _, id := range ids {
		next[id] = until
	}
	l.open = next
	return l
}

func (l life) withEnd(e command.End) life {
	until, ok := l.open[e.ID]
	if !ok {
		return l
	}
	l.open = maps.Clone(l.open)
	delete(l.open, e.ID)
	if e.Result != command.Unsent {
		l.until = latest(l.until, until)
	}
	return l
}

// isReplaced reports whether a later life has the ID or the address.
func (l life) isReplaced(members []instance.Instance, addresses map[string]string) bool {
	if other, ok := addresses[l.instance.Address]; ok && other != l.instance.Incarnation() {
		return true
	}
	for _, m := range members {
		if m.ID == l.instance.ID && m.Born > l.instance.Born {
			return true
		}
	}
	return false
}
