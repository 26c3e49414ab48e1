// Package coldcheck decides which backend server is asked whether it has turned cold. A server that turns cold again shows it late in
// its entry, while it gets requests at its full rate. Its health response tells, but waits for a slot and has a price, so servers are
// asked only on suspicion: at most one a second of a service with some 200 servers and 1,500 requests a second.
package coldcheck

import (
	"maps"
	"time"
)

const (
	// interval is the shortest time between two checks of servers of a service. It bounds their cost to less than one in a hundred of
	// the requests of a service.
	interval = time.Second
	// repeatAfter is the time after which a server may be checked again. It is shorter than a warm-up, since a server may turn cold
	// just after it was checked.
	repeatAfter = 2 * time.Second
	// forgetAfter is the time after which a check is forgotten.
	forgetAfter = time.Minute
)

// Checks holds which servers of one service were checked lately. It is immutable, and the zero value has none.
type Checks struct {
	lastAt        time.Time
	byIncarnation map[string]time.Time
}

// Next returns which of the suspect incarnations is to be checked at now, and whether there is one: the one that was checked longest
// ago, or else the first. Servers that are slow for another reason stay suspect and would otherwise keep the others from being checked.
func (c Checks) Next(suspects []string, now time.Time) (string, bool) {
	if now.Sub(c.lastAt) < interval {
		return "", false
	}
	best := ""
	for _, incarnation := range suspects {
		if best == "" || c.byIncarnation[incarnation].Before(c.byIncarnation[best]) {
			best = incarnation
		}
	}
	return best, best != "" && now.Sub(c.byIncarnation[best]) >= repeatAfter
}

// With returns the checks with one of an incarnation at now. Earlier ones that no longer count are dropped.
func (c Checks) With(incarnation string, now time.Time) Checks {
	next := make(map[string]time.Time, len(c.byIncarnation)+1)
	maps.Copy(next, c.byIncarnation)
	maps.DeleteFunc(next, func(_ string, at time.Time) bool { return now.Sub(at) >= forgetAfter })
	next[incarnation] = now
	return Checks{lastAt: now, byIncarnation: next}
}
