// Package ownershipevent holds what a coordinator did or learned about the owners of keys. The lines of its log are made
// from these values.
package ownershipevent

// Event is one step in the life of an owner's keys. The variants are [RangeAcquired], [RangeFenced], [RangeFreed] and
// [ServerEnded].
//
//sumtype:decl
type Event interface {
	isEvent()
}
