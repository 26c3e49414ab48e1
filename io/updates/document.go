package updates

import "time"

// document is the body of a response: entries, or changes in order.
type document struct {
	Revision int64 `json:"At"`
	// Age is in nanoseconds.
	Age     time.Duration
	Records []entry
}
