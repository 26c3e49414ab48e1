package placement

import "time"

// Refuse reports that a request gets no slot before its deadline.
type Refuse struct {
	Ticket uint64
	// RetryAfter is the time after which a retry is likely to get a slot.
	RetryAfter time.Duration
	Reason     Reason
}

func (Refuse) placement() {}

// RequestTicket implements [Placement].
func (r Refuse) RequestTicket() uint64 { return r.Ticket }
