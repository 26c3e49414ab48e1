package leader

import (
	"maps"
	"time"

	"redwingsill/core/message"
	"redwingsill/core/resource"
	"redwingsill/core/versions"
	"redwingsill/core/view"
)

// withNews takes over what a member has newer.
func (a Leader) withNews(f message.Followed) Leader {
	own := a.stamp()
	if f.Configuration != nil && f.Configuration.Revision > own.Configuration {
		a.configuration = *f.Configuration
	}
	if f.Assignment != nil && own.HasOlderAssignment(versions.Versions{AssignmentTerm: f.Assignment.Term,
		AssignmentVersion: f.Assignment.Version}) {
		a.assignment = *f.Assignment
	}
	if f.View != nil && f.View.Newer(a.view) {
		a.view = *f.View
	}
	return a
}

// withView numbers a new view where the facts differ from the last.
func (a Leader) withView() Leader {
	next := view.View{Stewards: map[string]string{}, Down: a.down, Leaving: a.leaving, Hosts: a.hosts}
	for server, h := range a.holdings {
		if !h.isFree() {
			next.Stewards[server] = h.host
		}
	}
	if a.view.Term == a.term && next.Same(a.view) {
		return a
	}
	version := int64(1)
	if a.view.Term == a.term {
		version = a.view.Version + 1
	}
	a.view = next.WithVersion(a.term, version)
	a.changed = true
	return a
}

func (a Leader) stamp() versions.Versions {
	return versions.Versions{
		Configuration:     a.configuration.Revision,
		AssignmentTerm:    a.assignment.Term,
		AssignmentVersion: a.assignment.Version,
		ViewTerm:          a.view.Term,
		ViewVersion:       a.view.Version,
		Members:           a.quorums.Digest(a.successors()),
	}
}

// isLive reports whether a member has reported lately and may be given work.
func (a Leader) isLive(name string, now time.Time) bool {
	p, ok := a.peers[name]
	return ok && now.Sub(p.reportedAt) < a.timing.Silence
}

func (a Leader) entryHosts() []string {
	return a.configuration.DataCentres[a.dataCentre].EntryHosts
}

func (a Leader) servers() []resource.BackendServer {
	return a.configuration.ServersOf("", a.dataCentre)
}

func (a Leader) withHolding(server string, h holding) Leader {
	a.holdings = maps.Clone(a.holdings)
	a.holdings[server] = h
	return a
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
