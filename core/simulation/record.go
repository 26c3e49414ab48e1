package simulation

import "time"

// record is a stored value and the revision at which it was written. A zero expiresAt means that the record does not expire.
type record struct {
	value     []byte
	revision  int64
	expiresAt time.Time
}
