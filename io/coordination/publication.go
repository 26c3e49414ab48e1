package coordination

import (
	"redwingsill/core/holding"
	"redwingsill/core/keyrange"
)

// publication is what the desk was told last.
type publication struct {
	holdings []holding.Holding
	moving   []keyrange.Range
}
