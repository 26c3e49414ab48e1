package relay

import "net/netip"

// candidate is a host that reads the store for others.
type candidate struct {
	name    string
	address netip.AddrPort
}
