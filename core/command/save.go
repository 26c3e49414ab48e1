package command

import "redwingsill/core/keymap"

// Save makes a map of owners durable, on condition that the coordinator still holds its lease.
type Save struct {
	ID   int64
	Keys keymap.Map
	// Fence is above every fencing token in use.
	Fence int64
}

func (Save) order() {}
