package command

import "redwingsill/core/keymap"

// Save writes the owners of a service's keys to the store, on condition that the coordinator still holds its store lease.
type Save struct {
	ID   int64
	Keys keymap.Map
	// ReservedFence is at least as high as every fencing token in use.
	ReservedFence int64
}

func (Save) isCommand() {}
