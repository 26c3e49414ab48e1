package effect

import "redwingsill/core/event"

// NotifyLeaseHolder passes an event to the lease holder of a backend server on this host.
type NotifyLeaseHolder struct {
	Event event.ServerEvent
}

func (NotifyLeaseHolder) effect() {}
