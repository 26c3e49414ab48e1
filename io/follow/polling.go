package follow

import "time"

// Polling reads all entries from time to time, perhaps some seconds late, for a tenth of the cost.
type Polling struct {
	Every time.Duration
}

func (Polling) manner() {}
