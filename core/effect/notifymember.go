package effect

import "redwingsill/core/event"

// NotifyMember passes a lease holder's event to the host's group member.
type NotifyMember struct {
	Event event.Event
}

func (NotifyMember) effect() {}
