package slotclient

import "net/netip"

// holder is a host's pool of one service, which gave out slots.
type holder struct {
	at      netip.AddrPort
	service string
}
