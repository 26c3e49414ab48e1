package slotclient

import "net/netip"

// slotSource identifies the pool of a service at a host that has given out slots to this one.
type slotSource struct {
	host    netip.AddrPort
	service string
}
