package forward

import "time"

// Allowance bounds how often requests are sent once more, over all entry hosts together.
type Allowance struct {
	// Window is the time over which repeats are counted.
	Window time.Duration
	// Ratio is how many repeats each request allows, and Extra how many more there may be.
	Ratio float64
	Extra float64
}
