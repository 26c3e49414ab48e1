package event

import "redwingsill/core/requestrate"

// Heated is a steward's word on its hottest keys.
type Heated struct {
	Server string
	Heats  []requestrate.RequestRate
}

func (Heated) event() {}
