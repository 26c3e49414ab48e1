package dispatch

import (
	"net/netip"

	"redwingsill/core/report"
)

// Slot is the right to send one request to one life of a backend server.
type Slot struct {
	// Life is the life of the backend server.
	Life     string
	ticket   uint64
	service  string
	at       netip.AddrPort
	dispatch *Dispatch
}

// Done gives the slot back and tells how the request ended.
func (s Slot) Done(r report.Report) { s.dispatch.done(s, r) }

func (s Slot) isHere() bool { return !s.at.IsValid() }
