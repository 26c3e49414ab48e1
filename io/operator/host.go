package operator

import (
	"time"

	"redwingsill/core/group"
	"redwingsill/core/leaseholder"
	"redwingsill/core/snapshot"
)

// host is the part of an entry host that the API reads.
type host interface {
	Now() time.Time
	Snapshot() *snapshot.Snapshot
	Group() group.Group
	// LeaseHolder returns the lease holder of a backend server on this host, and whether there is one.
	LeaseHolder(server string) (leaseholder.LeaseHolder, bool)
}
