package effect

import "redwingsill/core/event"

// NotifyMember passes an event to the host's member role.
type NotifyMember struct {
	Event event.Event
}

func (NotifyMember) effect() {}
