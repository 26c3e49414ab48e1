package watch

import "redwingsill/core/record"

// Sink takes what was followed. Its methods are called from one goroutine.
type Sink interface {
	// Apply takes changes in order, perhaps none, and the store's revision with them. With isWhole, all entries have been
	// read.
	Apply(changes []record.Record, at int64, isWhole bool)
	// Lost tells that the store can't be read; the next Apply tells that it can be again.
	Lost()
}
