package pool

import "time"

// run is a request that holds a slot of a server.
type run struct {
	incarnation string
	rank        int
	startedAt   time.Time
	deadline    time.Time
	host        uint32
	// key is the request's key, or slotrequest.NoKey.
	key int
}

// hostOf returns the number of the entry host that issued a ticket: the upper 32 bits of the ticket.
func hostOf(ticket uint64) uint32 { return uint32(ticket >> 32) }
