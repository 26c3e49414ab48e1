package registry

import (
	"net/netip"

	"redwingsill/core/holding"
	"redwingsill/core/keymap"
	"redwingsill/core/keyrange"
)

// hostDocument is the value of a host's key.
type hostDocument struct {
	Address    netip.AddrPort
	DataCentre string
}

// coordinatorDocument is the value of the coordinator's key.
type coordinatorDocument struct {
	Name string
	Mark string
}

// ownersDocument is the value of a service's owners.
type ownersDocument struct {
	Holdings []row
	Fence    int64
	Mark     string
}

// row is one holding.
type row struct {
	From  int
	To    int
	Owner string
	Fence int64
}

func rows(m keymap.Map) []row {
	all := make([]row, 0, len(m.Holdings()))
	for _, h := range m.Holdings() {
		all = append(all, row{From: h.Range.From, To: h.Range.To, Owner: h.Owner, Fence: h.Fence})
	}
	return all
}

func (d ownersDocument) keys() keymap.Map {
	holdings := make([]holding.Holding, 0, len(d.Holdings))
	for _, r := range d.Holdings {
		holdings = append(holdings, holding.Holding{Range: keyrange.Range{From: r.From, To: r.To}, Owner: r.Owner, Fence: r.Fence})
	}
	return keymap.New(holdings...)
}
