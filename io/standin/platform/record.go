package platform

import "time"

// record is the value of one key.
type record struct {
	value    []byte
	revision int64
	// lapsesAt is the end of a lease, or zero.
	lapsesAt time.Time
}
