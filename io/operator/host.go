package operator

import (
	"time"

	"redwingsill/core/group"
	"redwingsill/core/leaseholder"
	"redwingsill/core/snapshot"
)

// host is what the front end needs of an entry host.
type host interface {
	Now() time.Time
	Snapshot() *snapshot.Snapshot
	Cell() group.Group
	Steward(server string) (leaseholder.LeaseHolder, bool)
}
