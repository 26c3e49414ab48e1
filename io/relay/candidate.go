package relay

import "net/netip"

// candidate is a host that may be asked to relay the store's entries.
type candidate struct {
	name    string
	address netip.AddrPort
}
