package relay

import (
	"redwingsill/core/era"
	"redwingsill/io/watch"
)

// Store is the key-value store as one host reads it.
type Store interface {
	watch.Store
	// Era returns the newest known era of the store. All revisions are positions in it; see [era.Era.Position].
	Era() era.Era
	// ObserveEra records an era that another host has told.
	ObserveEra(seen era.Era)
}
