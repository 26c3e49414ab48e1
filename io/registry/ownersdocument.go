package registry

import (
	"redwingsill/core/holding"
	"redwingsill/core/keymap"
	"redwingsill/core/keyrange"
)

// ownersDocument is the value of the key of a service's owners.
type ownersDocument struct {
	Holdings []holdingDocument
	Fence    int64
	WriteID  string `json:"Mark"`
}

func (d ownersDocument) keys() keymap.Map {
	holdings := make([]holding.Holding, 0, len(d.Holdings))
	for _, r := range d.Holdings {
		holdings = append(holdings, holding.Holding{Range: keyrange.Range{From: r.From, To: r.To}, Owner: r.Owner, Fence: r.Fence})
	}
	return keymap.New(holdings...)
}
