package weightedcut

import "redwingsill/core/keyrange"

// Part is a range of keys for one target.
type Part struct {
	Range keyrange.Range
	// Load is the mean number of concurrent requests for the keys.
	Load float64
	// Target is the index of the target.
	Target int
}
