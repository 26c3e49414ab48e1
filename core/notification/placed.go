package notification

import "redwingsill/core/placement"

// Placed gives a slot.
type Placed struct{ Place placement.Place }

func (Placed) notice() {}
