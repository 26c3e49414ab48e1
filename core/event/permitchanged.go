package event

import "redwingsill/core/permit"

// PermitChanged tells a steward its new or renewed permit. A zero permit takes it away.
type PermitChanged struct {
	Server string
	Permit permit.Permit
}

func (PermitChanged) event() {}

// ServerName implements [ServerEvent].
func (e PermitChanged) ServerName() string { return e.Server }
