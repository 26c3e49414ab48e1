package updates

import "time"

// document is what an entry host answers: entries, or changes in their order.
type document struct {
	At int64
	// Age is in nanoseconds.
	Age     time.Duration
	Records []entry
}
