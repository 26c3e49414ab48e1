// Package slotrequest holds a request for a slot at a backend server.
package slotrequest

import "time"

// NoKey is the key of requests that have none.
const NoKey = -1

// SlotRequest asks the pool of a service for a slot to run one request.
type SlotRequest struct {
	// Ticket identifies the slot request among those of all entry hosts. Its upper 32 bits are the number of the
	// requesting host.
	Ticket uint64
	// DataCentre is the data centre of the requesting host.
	DataCentre string
	Service    string
	// Key is the numeric key of a sharded service, or [NoKey].
	Key int
	// Rank is the urgency; 0 is the most urgent.
	Rank int
	// Objective is the target time for the answer. A later answer has less value.
	Objective time.Time
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Excluded lists the incarnations of backend servers that the request must not be sent to again.
	Excluded []string
	// IsRetry marks a further slot request for the same request, which is not counted again in the load of its key.
	IsRetry bool
	// IsIdempotent allows the request to run more than once, so that it may be tried at a server that fails often.
	IsIdempotent bool
}

// HasKey reports whether the request is for one key.
func (r SlotRequest) HasKey() bool { return r.Key != NoKey }
