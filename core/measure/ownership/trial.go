package ownership

import (
	"redwingsill/core/assignment"
	"redwingsill/core/simulation"
)

// trial is the simulation of one group under one fault.
type trial struct {
	*simulation.Simulation
}

// leader returns the first host that considers itself the leader, or the first host of all if there is none.
func (t *trial) leader() string {
	for _, name := range t.HostNames() {
		if _, ok := t.Host(name).Group().Leader(); ok {
			return name
		}
	}
	return t.HostNames()[0]
}

// follower returns a host that is not the leader and holds a lease, or the first host of all if there is none.
func (t *trial) follower() string {
	for _, name := range t.HostNames() {
		member := t.Host(name).Group().Member()
		if name != t.leader() && len(member.Leases(t.Now())) > 0 {
			return name
		}
	}
	return t.HostNames()[0]
}

// isolate partitions a host from all other hosts, but not from the platform.
func (t *trial) isolate(name string) {
	for _, other := range t.HostNames() {
		if other != name {
			t.SetPartitioned(name, other, true)
		}
	}
}

// newestAssignment returns the assignment with the highest term and version over all hosts.
func (t *trial) newestAssignment() assignment.Assignment {
	var newest assignment.Assignment
	for _, name := range t.HostNames() {
		a := t.Host(name).Snapshot().Assignment
		if a.Term > newest.Term || a.Term == newest.Term && a.Version > newest.Version {
			newest = a
		}
	}
	return newest
}
