package registry

import "net/netip"

// hostDocument is the value of a host's key.
type hostDocument struct {
	// Address is where the host receives requests and notifications from other hosts.
	Address    netip.AddrPort
	DataCentre string
	// Capacity is the host's CPU limit, in processors.
	Capacity float64
}
