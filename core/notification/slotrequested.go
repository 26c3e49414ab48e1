package notification

import "redwingsill/core/slotrequest"

// SlotRequested asks the host that assigns the slots of a service for a slot.
type SlotRequested struct{ Request slotrequest.SlotRequest }

func (SlotRequested) notification() {}
