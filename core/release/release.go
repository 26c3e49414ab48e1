// Package release holds an arbiter's order to give up a backend server or some of its units.
package release

import (
	"redwingsill/core/grant"
	"redwingsill/core/unit"
)

// Release orders the steward of a backend server to stop serving some units, or all, once what runs has ended.
type Release struct {
	ID     int64
	Server string
	// All asks for the whole server, and then Grant is the newest that the arbiter has sent for it. Otherwise Units lists
	// what to give up.
	All   bool
	Grant grant.Grant `json:",omitzero"`
	Units []unit.Unit `json:",omitempty"`
	// Successor is the server that receives the memory of the units' request ids, and Heir the host that is its
	// steward. Both are empty where nobody takes over.
	Successor string `json:",omitempty"`
	Heir      string `json:",omitempty"`
}

// Covers reports whether the order includes u.
func (r Release) Covers(u unit.Unit) bool {
	if r.All {
		return true
	}
	for _, v := range r.Units {
		if v == u {
			return true
		}
	}
	return false
}
