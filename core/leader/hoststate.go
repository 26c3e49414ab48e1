package leader

import (
	"maps"
	"time"

	"redwingsill/core/event"
	"redwingsill/core/hostentry"
	"redwingsill/core/quorum"
)

// withHosts adopts the platform's list of entry hosts and backend servers, in which only entry hosts have an address. If
// the list has no entry hosts, the known ones are kept.
func (l Leader) withHosts(e event.HostsListed, now time.Time) Leader {
	hosts, leaving := map[string]hostentry.HostEntry{}, map[string]bool{}
	for _, h := range e.Hosts {
		if h.Address != "" {
			hosts[h.Name] = h
		}
		if h.Leaving {
			leaving[h.Name] = true
		}
	}
	for name, p := range l.members {
		if p.report.IsLeaving {
			leaving[name] = true
		}
	}
	leavingSince := map[string]time.Time{}
	for name := range leaving {
		leavingSince[name] = now
		if start, ok := l.leavingSince[name]; ok {
			leavingSince[name] = start
		}
	}
	l.leavingSince, l.leaving = leavingSince, leaving
	if len(hosts) > 0 {
		l.hosts = hosts
	}
	return l
}

// withVerdicts adopts the list of backend servers that the monitoring system has declared down.
func (l Leader) withVerdicts(e event.VerdictsReceived, now time.Time) Leader {
	l.verdictsReceivedAt = now
	down := map[string]bool{}
	for _, name := range e.Down {
		down[name] = true
	}
	if !maps.Equal(down, l.down) {
		l.down = down
	}
	return l
}

// MajoritySince returns the latest time at which a majority is known to have followed this leader.
func (l Leader) MajoritySince(now time.Time) time.Time {
	return l.quorums.MajoritySince(func(name string) time.Time {
		switch name {
		case l.name:
			return now
		case quorum.StoreVote:
			return l.storeVoteAt
		}
		return l.members[name].followedAt
	})
}

// hasRecentMajority reports whether a majority has followed this leader within three heartbeat intervals.
func (l Leader) hasRecentMajority(now time.Time) bool {
	return now.Sub(l.MajoritySince(now)) < 3*l.timing.HeartbeatInterval
}

// hasSoleQuorum reports whether the quorums are one set of exactly the given members.
func (l Leader) hasSoleQuorum(members []string) bool {
	return quorum.Quorums{}.WithMembers(members).Equal(l.quorums)
}
