package slotclient

import (
	"time"

	"redwingsill/core/reachability"
)

// peerReachability is another host's report of its contact with the store, and the time of its arrival.
type peerReachability struct {
	reachability reachability.Reachability
	receivedAt   time.Time
}
