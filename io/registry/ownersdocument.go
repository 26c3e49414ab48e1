package registry

import (
	"redwingsill/core/holding"
	"redwingsill/core/keymap"
	"redwingsill/core/keyrange"
)

// ownersDocument is the stored value that holds the owners of a service's key ranges.
type ownersDocument struct {
	Holdings []holdingDocument
	// Fence is the highest reserved fencing token.
	Fence int64
	// WriteID differs between writes. It shows whether a write without a response took effect.
	WriteID string `json:"Mark"`
}

// owners returns the owner and the fencing token of each key range.
func (d ownersDocument) owners() keymap.Map {
	holdings := make([]holding.Holding, 0, len(d.Holdings))
	for _, h := range d.Holdings {
		holdings = append(holdings, holding.Holding{Range: keyrange.Range{From: h.From, To: h.To}, Owner: h.Owner, Fence: h.Fence})
	}
	return keymap.New(holdings...)
}
