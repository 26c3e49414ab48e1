package leader

import (
	"maps"
	"time"

	"redwingsill/core/message"
	"redwingsill/core/resource"
	"redwingsill/core/versions"
	"redwingsill/core/view"
)

// withNewerState adopts the configuration, assignment and view of a promise where they are newer.
func (l Leader) withNewerState(promise message.Followed) Leader {
	own := l.versions()
	if promise.Configuration != nil && promise.Configuration.Revision > own.Configuration {
		l.configuration = *promise.Configuration
	}
	if promise.Assignment != nil && own.HasOlderAssignment(versions.Versions{AssignmentTerm: promise.Assignment.Term,
		AssignmentVersion: promise.Assignment.Version}) {
		l.assignment = *promise.Assignment
	}
	if promise.View != nil && promise.View.IsNewerThan(l.view) {
		l.view = *promise.View
	}
	return l
}

// withUpdatedView creates a new version of the view, to be broadcast, if its content has changed or the present version
// is that of an earlier leader.
func (l Leader) withUpdatedView() Leader {
	next := view.View{LeaseHolders: map[string]string{}, Down: l.down, Leaving: l.leaving, Hosts: l.hosts}
	for server, state := range l.leases {
		if !state.isFree() {
			next.LeaseHolders[server] = state.holder
		}
	}
	if l.view.Term == l.term && next.HasSameContent(l.view) {
		return l
	}
	version := int64(1)
	if l.view.Term == l.term {
		version = l.view.Version + 1
	}
	l.view = next.WithVersion(l.term, version)
	l.mustBroadcast = true
	return l
}

// versions returns the versions of the state that this leader shares with its group.
func (l Leader) versions() versions.Versions {
	return versions.Versions{
		Configuration:     l.configuration.Revision,
		AssignmentTerm:    l.assignment.Term,
		AssignmentVersion: l.assignment.Version,
		ViewTerm:          l.view.Term,
		ViewVersion:       l.view.Version,
		MembersDigest:     l.quorums.Digest(l.successors()),
	}
}

// isLive reports whether a member has reported within the silence timeout.
func (l Leader) isLive(name string, now time.Time) bool {
	p, ok := l.members[name]
	return ok && now.Sub(p.reportedAt) < l.timing.SilenceTimeout
}

// entryHosts returns the configured entry hosts of this leader's data centre.
func (l Leader) entryHosts() []string {
	return l.configuration.DataCentres[l.dataCentre].EntryHosts
}

// servers returns the configured backend servers of this leader's data centre.
func (l Leader) servers() []resource.BackendServer {
	return l.configuration.ServersOf("", l.dataCentre)
}

func (l Leader) withLeaseState(server string, state leaseState) Leader {
	l.leases = maps.Clone(l.leases)
	l.leases[server] = state
	return l
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
