package registry

import "net/netip"

// hostDocument is the value of a host's key.
type hostDocument struct {
	// Address is where the host receives other hosts' notifications and requests for store updates.
	Address    netip.AddrPort
	DataCentre string
	// Capacity is the host's CPU limit, in processors.
	Capacity float64
}
