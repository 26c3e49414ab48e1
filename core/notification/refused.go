package notification

import "redwingsill/core/placement"

// Refused says that there will be no slot in time.
type Refused struct{ Refuse placement.Refuse }

func (Refused) notice() {}
