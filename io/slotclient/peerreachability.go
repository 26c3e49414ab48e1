package slotclient

import (
	"time"

	"redwingsill/core/reachability"
)

// peerReachability is another host's reachability record and the time of its arrival.
type peerReachability struct {
	reachability reachability.Reachability
	receivedAt   time.Time
}
