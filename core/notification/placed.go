package notification

import "redwingsill/core/placement"

// Placed answers a slot request with a slot.
type Placed struct{ Place placement.Place }

func (Placed) notification() {}
