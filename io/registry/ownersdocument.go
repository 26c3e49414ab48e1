package registry

import (
	"redwingsill/core/holding"
	"redwingsill/core/keymap"
	"redwingsill/core/keyrange"
)

// ownersDocument is the value of the key of a service's owners.
type ownersDocument struct {
	Holdings []holdingDocument
	// Fence is the highest reserved fencing token.
	Fence   int64
	WriteID string `json:"Mark"`
}

// keys returns the owners of the keys.
func (d ownersDocument) keys() keymap.Map {
	holdings := make([]holding.Holding, 0, len(d.Holdings))
	for _, h := range d.Holdings {
		holdings = append(holdings, holding.Holding{Range: keyrange.Range{From: h.From, To: h.To}, Owner: h.Owner, Fence: h.Fence})
	}
	return keymap.New(holdings...)
}
