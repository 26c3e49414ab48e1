package pool

import (
	"slices"
	"time"

	"redwingsill/core/slotrequest"
)

const (
	// turnedAwayLifetime is how long a refused request counts as demand for the owner of its key. Such requests used to wait, and the
	// coordinator plans moves several times within that time.
	turnedAwayLifetime = 250 * time.Millisecond
	// maxTurnedAway bounds the refused requests that are remembered. The coordinator moves fewer ranges at a time.
	maxTurnedAway = 128
)

// turnedAway is a keyed request that was refused at its arrival, since its owner is overloaded. It counts in the load of the owner as if it
// waited, so that keys still move to servers with free slots.
type turnedAway struct {
	key int
	at  time.Time
}

// withTurnedAway returns the pool after a request was refused at its arrival.
func (p Pool) withTurnedAway(r slotrequest.SlotRequest, now time.Time) Pool {
	if !p.needsOwner(r) {
		return p
	}
	first := max(0, len(p.turnedAway)+1-maxTurnedAway)
	p.turnedAway = append(slices.Clone(p.turnedAway[first:]), turnedAway{key: r.Key, at: now})
	return p
}

// withoutOldTurnedAway returns the pool without the refused requests that no longer count.
func (p Pool) withoutOldTurnedAway(now time.Time) Pool {
	n := 0
	for n < len(p.turnedAway) && now.Sub(p.turnedAway[n].at) > turnedAwayLifetime {
		n++
	}
	p.turnedAway = p.turnedAway[n:]
	return p
}
