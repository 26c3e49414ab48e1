package updates

import "time"

// document is the body of a response: entries, or changes in order.
type document struct {
	Revision int64 `json:"At"`
	// Age is the age of the update in nanoseconds, as in [redwingsill/core/update.Update].
	Age     time.Duration
	Records []entry
}
