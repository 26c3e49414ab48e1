package operator

import (
	"time"

	"redwingsill/core/cell"
	"redwingsill/core/snapshot"
	"redwingsill/core/steward"
)

// host is what the front end needs of an entry host.
type host interface {
	Now() time.Time
	Snapshot() *snapshot.Snapshot
	Cell() cell.Cell
	Steward(server string) (steward.Steward, bool)
}
