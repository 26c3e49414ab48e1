package directory

import (
	"net/netip"
)

// host is one entry host.
type host struct {
	Name       string
	Address    netip.AddrPort
	DataCentre string
}
