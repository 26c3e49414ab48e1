package command

import (
	"redwingsill/core/instance"
	"redwingsill/core/keyrange"
)

// Release takes keys back from a backend server.
type Release struct {
	ID    int64
	From  instance.Instance
	Range keyrange.Range
	Fence int64
}

func (Release) order() {}
