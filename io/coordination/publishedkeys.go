package coordination

import (
	"redwingsill/core/holding"
	"redwingsill/core/keyrange"
)

// publishedKeys holds the owners and the unserved key ranges of a service that the slot server last received.
type publishedKeys struct {
	holdings []holding.Holding
	// unserved has the ranges to which no request may be sent now.
	unserved []keyrange.Range
}
