package slotclient

import (
	"time"

	"redwingsill/core/reachability"
)

// told is another host's contact with the store, and when it told it.
type told struct {
	contact reachability.Reachability
	at      time.Time
}
