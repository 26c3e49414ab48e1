package registry

import "redwingsill/core/keymap"

// holdingDocument is the encoding of one holding: the keys From to To, both included, their owner and its fencing
// token.
type holdingDocument struct {
	From int
	To   int
	// Owner is the incarnation of the backend server.
	Owner string
	Fence int64
}

func holdingDocuments(m keymap.Map) []holdingDocument {
	all := make([]holdingDocument, 0, len(m.Holdings()))
	for _, h := range m.Holdings() {
		all = append(all, holdingDocument{From: h.Range.From, To: h.Range.To, Owner: h.Owner, Fence: h.Fence})
	}
	return all
}
