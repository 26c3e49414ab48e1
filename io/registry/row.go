package registry

import (
	"redwingsill/core/keymap"
)

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
