package platform

import "time"

// record is the value of a key and its revision.
type record struct {
	value    []byte
	revision int64
	// expiresAt is when the key expires, or zero if it does not expire.
	expiresAt time.Time
}
