package registry

import (
	"fmt"

	"redwingsill/core/era"
	"redwingsill/core/holding"
	"redwingsill/core/keymap"
	"redwingsill/core/keyrange"
)

// maxFence is the highest valid fencing token, the highest integer that every JSON decoder reads exactly. It leaves room above it for
// the tokens that a coordinator reserves.
const maxFence = 1<<53 - 1

// ownersDocument is the stored value that holds the owners of a service's key ranges.
type ownersDocument struct {
	Holdings []holdingDocument
	// Fence is the highest reserved fencing token.
	Fence int64
	// WriteID differs between writes. It shows whether a write without a response took effect.
	WriteID string `json:"Mark"`
	// Era is the era of the store in which the owners were written. In a later one they may be older than the grants.
	Era era.Era `json:",omitempty"`
}

// owners returns the owner and the fencing token of each key range.
func (d ownersDocument) owners() keymap.Map {
	holdings := make([]holding.Holding, 0, len(d.Holdings))
	for _, h := range d.Holdings {
		holdings = append(holdings, holding.Holding{Range: keyrange.Range{From: h.From, To: h.To}, Owner: h.Owner, Fence: h.Fence})
	}
	return keymap.New(holdings...)
}

// check checks the values that a coordinator relies on: ranges of keys that exist, and tokens up to the reserved one.
func (d ownersDocument) check() error {
	if d.Fence <= 0 || d.Fence > maxFence {
		return fmt.Errorf("the reserved fencing token is %d or missing, not from 1 to %d", d.Fence, maxFence)
	}
	for _, h := range d.Holdings {
		if h.From < 0 || h.From > h.To || h.To > keyrange.MaxKey || h.Owner == "" || h.Fence <= 0 || h.Fence > d.Fence {
			return fmt.Errorf("the holding of %d-%d by %.100q with the token %d is not possible", h.From, h.To, h.Owner, h.Fence)
		}
	}
	return nil
}
