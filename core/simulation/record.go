package simulation

import "time"

// record is a stored value and the revision that wrote it. A zero expiresAt means that it does not expire.
type record struct {
	value     []byte
	revision  int64
	expiresAt time.Time
}
