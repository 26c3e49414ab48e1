package simulation

import "time"

// record is the value of one key of the platform.
type record struct {
	value    []byte
	revision int64
	lapsesAt time.Time
}
