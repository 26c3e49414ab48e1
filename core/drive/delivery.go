package drive

import "time"

// delivery is an action that is due at a time.
type delivery struct {
	at       time.Time
	sequence int64
	act      func()
}
