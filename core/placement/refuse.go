package placement

import "time"

// Refuse says that the request won't get a slot in time.
type Refuse struct {
	Ticket uint64
	// RetryAfter is when a slot is likely to be free.
	RetryAfter time.Duration
	Reason     Reason
}

func (Refuse) placement() {}

// Of implements [Placement].
func (p Refuse) Of() uint64 { return p.Ticket }
