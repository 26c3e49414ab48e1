package command

import "redwingsill/core/keymap"

// Save writes the owners of a service's keys to the store, on condition that the coordinator still holds its store lease
// and that no other has written them since.
type Save struct {
	// ID is unique among the commands of one coordinator for one service. It is above 0.
	ID   int64
	Keys keymap.Map
	// ReservedFence is the highest fencing token that the coordinator may grant before it saves a higher one.
	ReservedFence int64
}

func (Save) isCommand() {}
