package notification

import "redwingsill/core/slotrequest"

// Asked wants a slot.
type Asked struct{ Ask slotrequest.SlotRequest }

func (Asked) notice() {}
