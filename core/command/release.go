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
}

func (Release) isCommand() {}
