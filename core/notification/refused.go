package notification

import "redwingsill/core/placement"

// Refused answers a slot request that gets no slot.
type Refused struct{ Refuse placement.Refuse }

func (Refused) notification() {}
