package operator

import (
	"time"

	"redwingsill/core/cell"
	"redwingsill/core/snapshot"
	"redwingsill/core/steward"
)

// host is the part of an entry host that the API reads.
type host interface {
	Now() time.Time
	Snapshot() *snapshot.Snapshot
	Cell() cell.Cell
	Steward(server string) (steward.Steward, bool)
}
