package ownership

import (
	"maps"
	"time"

	"redwingsill/core/instance"
	"redwingsill/core/order"
)

// life is what the coordinator knows of one life of a backend server.
type life struct {
	instance instance.Instance
	// sentAt is when the newest grant was sent that has or may have arrived, and open are those under way.
	sentAt time.Time
	open   map[int64]time.Time
	// lateUntil is until when a grant without an answer may take effect and hold.
	lateUntil time.Time
	// isOver says that the life has ended, and with it all that it held.
	isOver bool
}

// newest returns when the newest grant was sent that may have arrived.
func (l life) newest() time.Time {
	at := l.sentAt
	for _, sent := range l.open {
		at = latest(at, sent)
	}
	return at
}

func (l life) withOpen(now time.Time, ids ...int64) life {
	next := make(map[int64]time.Time, len(l.open)+len(ids))
	maps.Copy(next, l.open)
	for _, id := range ids {
		next[id] = now
	}
	l.open = next
	return l
}

func (l life) withEnd(e order.End) life {
	sent, ok := l.open[e.ID]
	if !ok {
		return l
	}
	l.open = maps.Clone(l.open)
	delete(l.open, e.ID)
	if e.Result != order.Unsent {
		l.sentAt = latest(l.sentAt, sent)
	}
	return l
}

// isReplaced reports whether a later life has the ID or the address.
func (l life) isReplaced(members []instance.Instance, addresses map[string]string) bool {
	if other, ok := addresses[l.instance.Address]; ok && other != l.instance.Life() {
		return true
	}
	for _, m := range members {
		if m.ID == l.instance.ID && m.Born > l.instance.Born {
			return true
		}
	}
	return false
}
