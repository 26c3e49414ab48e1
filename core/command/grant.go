package command

import (
	"time"

	"redwingsill/core/instance"
	"redwingsill/core/keyrange"
)

// Grant grants a range of keys to a backend server, or renews the grant.
type Grant struct {
	// ID is unique among the commands of one coordinator for one service. It is above 0.
	ID    int64
	To    instance.Instance
	Range keyrange.Range
	// Fence is the fencing token of the grant.
	Fence int64
	// HoldTime is how long the backend server holds the keys after the command arrives.
	HoldTime time.Duration
	// IsFencing is set if the grant raises the fencing token at the old owner of a range that is about to be released. The
	// move relies on its result.
	IsFencing bool
	// Connection is the connection that the call should go over, or 0 for any. A fencing grant goes over a new one.
	Connection int64
	// Handover is the state that the previous owner passed on, or empty.
	Handover string
}

func (Grant) isCommand() {}
