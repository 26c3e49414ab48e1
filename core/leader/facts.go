package leader

import (
	"maps"
	"time"

	"redwingsill/core/event"
	"redwingsill/core/hostentry"
	"redwingsill/core/quorum"
)

func (a Leader) listed(e event.HostsListed, now time.Time) Leader {
	hosts, leaving := map[string]hostentry.HostEntry{}, map[string]bool{}
	for _, h := range e.Hosts {
		if h.Address != "" {
			hosts[h.Name] = h
		}
		if h.Leaving {
			leaving[h.Name] = true
		}
	}
	for name, p := range a.peers {
		if p.report.IsLeaving {
			leaving[name] = true
		}
	}
	since := map[string]time.Time{}
	for name := range leaving {
		since[name] = now
		if at, ok := a.leavingSince[name]; ok {
			since[name] = at
		}
	}
	a.leavingSince, a.leaving = since, leaving
	if len(hosts) > 0 {
		a.hosts = hosts
	}
	return a
}

func (a Leader) heard(e event.VerdictsReceived, now time.Time) Leader {
	a.verdictsAt = now
	down := map[string]bool{}
	for _, name := range e.Down {
		down[name] = true
	}
	if !maps.Equal(down, a.down) {
		a.down = down
	}
	return a
}

// isHeardBy reports whether a majority has followed lately. Without one the lease is given up, so that another host may
// try.
func (a Leader) isHeardBy(now time.Time) bool {
	return now.Sub(a.Since(now)) < 3*a.timing.Beat
}

func (a Leader) hasQuorum(members []string) bool {
	return quorum.Quorums{}.With(members).Same(a.quorums)
}
