package command

import (
	"time"

	"redwingsill/core/instance"
	"redwingsill/core/keyrange"
)

// Grant gives keys to a backend server or renews them.
type Grant struct {
	ID    int64
	To    instance.Instance
	Range keyrange.Range
	Fence int64
	// Hold is how long the backend server holds the keys from the arrival of the call.
	Hold time.Duration
	// Handover is the state of the last owner, or empty.
	Handover string
}

func (Grant) order() {}
