package event

import "redwingsill/core/heat"

// Heated is a steward's word on its hottest keys.
type Heated struct {
	Server string
	Heats  []heat.Heat
}

func (Heated) event() {}
