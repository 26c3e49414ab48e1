package command

import (
	"redwingsill/core/instance"
	"redwingsill/core/keyrange"
)

// Release asks a backend server to give up a range of keys.
type Release struct {
	// ID is unique among the commands of one coordinator for one service. It is above 0.
	ID    int64
	From  instance.Instance
	Range keyrange.Range
	// Fence is the fencing token under which the backend server holds the range.
	Fence int64
	// Connection is the connection that the call should go over, or 0 for any.
	Connection int64
	// NeedsNewConnection makes the call go over a new connection, so that its answer is certain.
	NeedsNewConnection bool
}

func (Release) isCommand() {}
