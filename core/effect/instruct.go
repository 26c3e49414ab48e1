package effect

import "redwingsill/core/event"

// Instruct hands an event to the steward of a backend server on this host.
type Instruct struct {
	Event event.ServerEvent
}

func (Instruct) effect() {}
