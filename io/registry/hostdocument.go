package registry

import (
	"net/netip"
)

// hostDocument is the value of a host's key.
type hostDocument struct {
	Address    netip.AddrPort
	DataCentre string
	// Capacity is the host's share of a processor.
	Capacity float64
}
