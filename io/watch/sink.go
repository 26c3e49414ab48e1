package watch

import "redwingsill/core/record"

// Sink receives the watched entries. Its methods are called from one goroutine.
type Sink interface {
	// Apply receives changes in order, perhaps none, and the revision of the store that they lead to. hasSynced is set if
	// the changes come from a list of all entries, so that the sink now has all of them.
	Apply(changes []record.Record, revision int64, hasSynced bool)
	// Lost is called at the first of a series of failed calls to the store. The next call of Apply ends the series.
	Lost()
}
