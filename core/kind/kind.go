// Package kind classifies failures so that callers can act on them without reading texts.
package kind

import "errors"

// Kind is the class of a failure.
type Kind string

// The classes of failure.
const (
	Invalid     Kind = "Invalid"     // the input is wrong; trying again does not help
	NotFound    Kind = "NotFound"    // the named thing does not exist
	Conflict    Kind = "Conflict"    // a concurrent change won
	Denied      Kind = "Denied"      // the peer is not allowed to do this
	Unavailable Kind = "Unavailable" // the peer did not take the call; nothing happened
	Unknown     Kind = "Unknown"     // the call may or may not have taken effect
	Full        Kind = "Full"        // a declared limit is reached
)

// Is reports whether an error, or one that it wraps, is a failure of a class.
func Is(err error, k Kind) bool {
	var failed interface{ IsKind(Kind) bool }
	return errors.As(err, &failed) && failed.IsKind(k)
}
