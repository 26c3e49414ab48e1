package effect

import "redwingsill/core/event"

// NotifyMember passes a lease holder's event to the host's member role.
type NotifyMember struct {
	Event event.Event
}

func (NotifyMember) effect() {}
