package platform

import "time"

// record is the value of a key and its revision.
type record struct {
	value    []byte
	revision int64
	// expiresAt is when the lease expires, or zero if there is none.
	expiresAt time.Time
}
