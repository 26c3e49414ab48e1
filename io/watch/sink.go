package watch

import "redwingsill/core/record"

// Sink receives the watched entries. Its methods are called from one goroutine.
type Sink interface {
	// Apply receives changes in order, perhaps none, and the revision of the store that they lead to. hasSynced is set if
	// the changes come from a list of all entries, so that the sink now has all of them.
	Apply(changes []record.Record, revision int64, hasSynced bool)
	// Lost is called when the store can't be read. The next call of Apply means that it can be read again.
	Lost()
}
