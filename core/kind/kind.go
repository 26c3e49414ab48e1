// Package kind classifies errors so that callers can handle them without parsing messages.
package kind

import "errors"

// Kind is the class of an error.
type Kind string

// The error kinds.
const (
	Invalid     Kind = "Invalid"     // the input is wrong; a retry fails again
	NotFound    Kind = "NotFound"    // the named thing does not exist
	Conflict    Kind = "Conflict"    // a concurrent change was accepted first
	Denied      Kind = "Denied"      // the caller or the peer is not authorized
	Unavailable Kind = "Unavailable" // the call was not accepted and had no effect
	Unknown     Kind = "Unknown"     // the call may or may not have taken effect
	Full        Kind = "Full"        // a declared limit is reached
)

// Is reports whether err, or an error that it wraps, has kind k.
func Is(err error, k Kind) bool {
	var failed interface{ IsKind(Kind) bool }
	return errors.As(err, &failed) && failed.IsKind(k)
}
