package placement

import "time"

// Refuse denies a slot to a request.
type Refuse struct {
	Ticket uint64
	// RetryAfter is the time after which a retry is likely to get a slot.
	RetryAfter time.Duration
	Reason     Reason
}

func (Refuse) placement() {}

// RequestTicket implements [Placement].
func (r Refuse) RequestTicket() uint64 { return r.Ticket }
