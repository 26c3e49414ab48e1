package event

import "redwingsill/core/lease"

// LeaseChanged passes a new or renewed lease to a lease holder. A zero lease revokes the current one.
type LeaseChanged struct {
	Server string
	Lease  lease.Lease
}

func (LeaseChanged) event() {}

// ServerName implements [ServerEvent].
func (e LeaseChanged) ServerName() string { return e.Server }
