package slotclient

import (
	"net/netip"

	"redwingsill/core/attemptresult"
)

// Slot is the permission to send one request to one incarnation of a backend server.
type Slot struct {
	Incarnation string
	ticket      uint64
	service     string
	// host is the host that gave out the slot; the zero value is this host.
	host   netip.AddrPort
	client *SlotClient
}

// Release gives the slot back, with the result of the attempt.
func (s Slot) Release(r attemptresult.AttemptResult) { s.client.release(s, r) }

func (s Slot) isLocal() bool { return !s.host.IsValid() }
