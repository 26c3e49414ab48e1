// Package update holds what one entry host tells another of the store's entries.
package update

import (
	"time"

	"redwingsill/core/record"
)

// Update is entries, or their changes in order, as of a revision. It is immutable.
type Update struct {
	Records []record.Record
	// At is the revision to go on from.
	At int64
	// Age is how long ago the store itself confirmed that there was nothing newer.
	Age time.Duration
}
