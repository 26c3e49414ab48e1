// Package update holds the store entries that one entry host sends to another.
package update

import (
	"time"

	"redwingsill/core/record"
)

// Update holds all entries under a prefix, or the changes under it after a revision. It is immutable.
type Update struct {
	// Records is sorted by revision.
	Records []record.Record
	// Revision is the revision that Records is complete up to. The receiver asks for the changes after it.
	Revision int64
	// Age is the time since the store itself confirmed that there was nothing newer.
	Age time.Duration
}
