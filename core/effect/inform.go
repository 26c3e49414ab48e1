package effect

import "redwingsill/core/event"

// Inform hands an event of a steward to the host's part in its cell.
type Inform struct {
	Event event.Event
}

func (Inform) effect() {}
