package leader

import (
	"maps"
	"slices"
	"time"

	"redwingsill/core/grant"
	"redwingsill/core/lease"
	"redwingsill/core/message"
	"redwingsill/core/release"
)

// expireLeases frees the backend servers whose lease holder is lost, once the lease has expired and a majority is known
// to have followed this leader since. Without that majority, a later leader may have renewed the lease.
func (l Leader) expireLeases(now time.Time) Leader {
	majoritySince := l.MajoritySince(now)
	for _, server := range slices.Sorted(maps.Keys(l.leases)) {
		state := l.leases[server]
		if state.isFree() || l.isHolderAlive(state, now) {
			continue
		}
		if !majoritySince.After(state.expiry) {
			if now.After(state.expiry) && now.Sub(l.members[l.name].heartbeatAt) >= l.timing.HeartbeatInterval/5 {
				// Immediate reports show earlier than the regular ones whether a majority still follows this leader. They
				// are requested at most five times per heartbeat interval.
				l.mustBroadcast, l.wantsReports = true, true
			}
			continue
		}
		state.holder, state.successor, state.isReleased, state.isMissing = "", "", false, false
		l = l.withLeaseState(server, state)
	}
	return l
}

// isHolderAlive reports whether the lease holder reports regularly, in the incarnation that was given the lease, and
// holds the lease.
func (l Leader) isHolderAlive(state leaseState, now time.Time) bool {
	return l.isLive(state.holder, now) && l.members[state.holder].report.Incarnation == state.incarnation && !state.isMissing
}

// withMissingLeases marks the leases that a member should hold but does not report. The member may have released them
// at the request of an earlier leader.
func (l Leader) withMissingLeases(r message.Report) Leader {
	for server, state := range l.leases {
		isDue := state.firstRound > 0 && r.Round >= state.firstRound+missingLeaseRounds
		if state.holder != r.Member || state.incarnation != r.Incarnation || state.isMissing || !isDue || l.isReleasingServer(server) {
			continue
		}
		if !slices.ContainsFunc(r.Leases, func(held lease.Lease) bool { return held.Server == server }) {
			state.isMissing = true
			l = l.withLeaseState(server, state)
		}
	}
	return l
}

// grantLeases gives each free backend server a lease holder. A server that no holder has released to this leader waits
// until the leases of earlier leaders have expired. A server also waits while a plan that moves its units away is
// written, because a new holder could serve them by the present assignment.
func (l Leader) grantLeases(now time.Time) Leader {
	haveEarlierLeasesExpired := l.MajoritySince(now).After(l.earlierLeasesEnd)
	for _, server := range l.servers() {
		state := l.leases[server.Name]
		if !state.isFree() || !haveEarlierLeasesExpired && !state.isReleased || l.down[server.Name] ||
			l.leaving[server.Name] || l.isWritingMovesFrom(server.Name) {
			continue
		}
		host := state.successor
		if host == "" || !l.canHoldLeases(host, now) {
			host = l.leastLoaded(now)
		}
		if host == "" {
			return l
		}
		l.generation++
		next := leaseState{holder: host, incarnation: l.members[host].report.Incarnation,
			grant: grant.Grant{Term: l.term, Generation: l.generation}, expiry: now}
		next.origin = next.grant
		next.idleSince = later(state.expiry, l.earlierLeasesEnd)
		if state.isReleased {
			next.idleSince = state.idleSince
		}
		if host == state.successor {
			// The successor continues the dedup table that it has received.
			next.origin = state.origin
		}
		l = l.withLeaseState(server.Name, next)
		l.mustBroadcast = true
	}
	return l
}

// canHoldLeases reports whether a member may be given leases: it is live, is not leaving and has reported to this
// leader.
func (l Leader) canHoldLeases(name string, now time.Time) bool {
	p := l.members[name]
	return l.isLive(name, now) && !l.leaving[name] && !p.report.SentAt.IsZero()
}

// leastLoaded returns the member that holds the fewest leases among those that may be given more, or "".
func (l Leader) leastLoaded(now time.Time) string {
	counts := l.leaseCounts()
	best := ""
	for _, name := range slices.Sorted(maps.Keys(l.members)) {
		if l.canHoldLeases(name, now) && (best == "" || counts[name] < counts[best]) {
			best = name
		}
	}
	return best
}

// leaseCounts returns the number of leases that each host holds.
func (l Leader) leaseCounts() map[string]int {
	counts := map[string]int{}
	for _, state := range l.leases {
		if !state.isFree() {
			counts[state.holder]++
		}
	}
	return counts
}

// requestServerReleases requests the release of each backend server that is down, was not drained in time or has a
// leaving lease holder. It then balances the leases.
func (l Leader) requestServerReleases(now time.Time) Leader {
	for _, server := range slices.Sorted(maps.Keys(l.leases)) {
		state := l.leases[server]
		switch {
		case state.isFree() || l.isReleasingServer(server):
		case l.down[server] || l.isDrainOverdue(server, now):
			l = l.requestRelease(state.holder, release.Release{Server: server, WholeServer: true})
		case l.leaving[state.holder]:
			if successor := l.leastLoaded(now); successor != "" {
				l = l.requestRelease(state.holder, release.Release{Server: server, WholeServer: true, SuccessorServer: server, SuccessorHost: successor})
			}
		}
	}
	return l.balanceLeases(now)
}

// isDrainOverdue reports whether a backend server has been leaving for longer than the drain timeout.
func (l Leader) isDrainOverdue(server string, now time.Time) bool {
	since, ok := l.leavingSince[server]
	return ok && now.Sub(since) > drainTimeout
}

// balanceLeases moves one lease from the member with the most leases to the one with the fewest if they differ by at
// least two. It does nothing while the release of a whole server or a plan is pending, or within one silence timeout of
// the last move.
func (l Leader) balanceLeases(now time.Time) Leader {
	to := l.leastLoaded(now)
	if to == "" || l.isReleasingAnyServer() || l.plan != nil || now.Sub(l.lastMoveAt) < l.timing.SilenceTimeout {
		return l
	}
	counts := l.leaseCounts()
	from := ""
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		if l.isLive(name, now) && (from == "" || counts[name] > counts[from]) {
			from = name
		}
	}
	if from == "" || counts[from]-counts[to] < 2 {
		return l
	}
	for _, server := range slices.Sorted(maps.Keys(l.leases)) {
		if l.leases[server].holder == from {
			l.lastMoveAt = now
			return l.requestRelease(from, release.Release{Server: server, WholeServer: true, SuccessorServer: server, SuccessorHost: to})
		}
	}
	return l
}

// isReleasingAnyServer reports whether the release of any whole server is pending.
func (l Leader) isReleasingAnyServer() bool {
	for _, pending := range l.releases {
		if pending.release.WholeServer {
			return true
		}
	}
	return false
}

// isReleasingServer reports whether the release of the whole server is pending.
func (l Leader) isReleasingServer(server string) bool {
	for _, pending := range l.releases {
		if pending.release.WholeServer && pending.release.Server == server {
			return true
		}
	}
	return false
}

// requestRelease asks a host to release a backend server or some of its units.
func (l Leader) requestRelease(host string, r release.Release) Leader {
	l.releaseID++
	r.ID, r.Term, r.Version = l.releaseID, l.assignment.Term, l.assignment.Version
	if r.WholeServer {
		r.Grant = l.leases[r.Server].grant
	}
	l.releases = maps.Clone(l.releases)
	l.releases[r.ID] = pendingRelease{release: r, host: host}
	l.mustBroadcast = true
	return l
}

// dropStaleReleases drops pending releases of hosts that no longer hold the lease on the server.
func (l Leader) dropStaleReleases() Leader {
	for id, pending := range l.releases {
		if l.leases[pending.release.Server].holder != pending.host {
			l.releases = maps.Clone(l.releases)
			delete(l.releases, id)
		}
	}
	return l
}

// withReleased records the releases that a member reports as done, and grants the leases on the released servers.
func (l Leader) withReleased(r message.Report, now time.Time) Leader {
	for _, id := range r.CompletedReleases {
		pending, ok := l.releases[id]
		if !ok || pending.host != r.Member || pending.isDone {
			continue
		}
		l.releases = maps.Clone(l.releases)
		if !pending.release.WholeServer {
			pending.isDone = true
			l.releases[id] = pending
			continue
		}
		delete(l.releases, id)
		state := l.leases[pending.release.Server]
		if state.holder != r.Member || state.incarnation != r.Incarnation {
			continue
		}
		state.holder, state.successor, state.isReleased, state.idleSince = "", "", true, now
		if slices.Contains(r.AdoptedReleases, id) {
			state.successor = pending.release.SuccessorHost
		}
		l = l.withLeaseState(pending.release.Server, state).grantLeases(now)
	}
	return l
}
