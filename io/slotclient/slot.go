package slotclient

import (
	"net/netip"

	"redwingsill/core/attemptresult"
)

// Slot is the right to send one request to one life of a backend server.
type Slot struct {
	// Life is the life of the backend server.
	Life     string
	ticket   uint64
	service  string
	at       netip.AddrPort
	dispatch *SlotClient
}

// Done gives the slot back and tells how the request ended.
func (s Slot) Done(r attemptresult.AttemptResult) { s.dispatch.done(s, r) }

func (s Slot) isHere() bool { return !s.at.IsValid() }
