// Package update holds the store entries that one entry host sends to another.
package update

import (
	"time"

	"redwingsill/core/record"
)

// Update is a set of entries, or of changes in order, up to a revision. It is immutable.
type Update struct {
	Records []record.Record
	// Revision is the revision from which the receiver continues.
	Revision int64
	// Age is the time since the store itself confirmed that there was nothing newer.
	Age time.Duration
}
