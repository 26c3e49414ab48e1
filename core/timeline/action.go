package timeline

import "time"

// action is an action that is due at a time.
type action struct {
	at       time.Time
	sequence int64
	act      func()
}
