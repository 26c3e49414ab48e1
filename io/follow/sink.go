package follow

import "redwingsill/core/record"

// Sink takes what was followed. Its methods are called from one goroutine.
type Sink interface {
	// Apply takes changes in order. With isWhole, all entries have been read.
	Apply(changes []record.Record, isWhole bool)
	// Lost tells that the store can't be read; the next Apply tells that it can be again.
	Lost()
}
