package notification

import "redwingsill/core/reachability"

// ContactTold is a host's contact with the store.
type ContactTold struct{ Contact reachability.Reachability }

func (ContactTold) notice() {}
