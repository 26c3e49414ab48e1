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
	// Term and Version are those of the assignment in force when the order was given. The units stay released until an
	// assignment newer than that is in force at the steward.
	Term    int64 `json:",omitempty"`
	Version int64 `json:",omitempty"`
	// Successor is the server that receives the memory of the units' request ids, and Heir the host that is its
	// steward. Both are empty where nobody takes over.
	Successor string `json:",omitempty"`
	Heir      string `json:",omitempty"`
}

// IsOver reports whether an assignment of a term and version is newer than the order.
func (r Release) IsOver(term, version int64) bool {
	return term > r.Term || term == r.Term && version > r.Version
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
