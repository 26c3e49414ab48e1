package event

import "redwingsill/core/lease"

// PermitChanged tells a steward its new or renewed permit. A zero permit takes it away.
type PermitChanged struct {
	Server string
	Permit lease.Lease
}

func (PermitChanged) event() {}

// ServerName implements [ServerEvent].
func (e PermitChanged) ServerName() string { return e.Server }
