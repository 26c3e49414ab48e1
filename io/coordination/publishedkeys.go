package coordination

import (
	"redwingsill/core/holding"
	"redwingsill/core/keyrange"
)

// publishedKeys is what the slot server last received about the keys of one service.
type publishedKeys struct {
	// holdings gives the owner of each key range.
	holdings []holding.Holding
	// unserved has the ranges whose requests must wait, such as those that are moving to another owner.
	unserved []keyrange.Range
}
