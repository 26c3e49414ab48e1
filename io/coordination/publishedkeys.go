package coordination

import (
	"redwingsill/core/holding"
	"redwingsill/core/keyrange"
)

// publishedKeys is the last ownership of a service that the slot server received.
type publishedKeys struct {
	holdings []holding.Holding
	moving   []keyrange.Range
}
