// Package release defines the leader's request that a lease holder stop serving a backend server or some of its units.
package release

import (
	"redwingsill/core/grant"
	"redwingsill/core/unit"
)

// Release asks the lease holder of a backend server to stop serving some units, or the whole server. It is done once
// the running requests have ended and the handover to the successor host, if any, has been acknowledged or timed out.
type Release struct {
	ID     int64
	Server string
	// WholeServer releases the whole server; Grant is then the newest grant that the leader has sent for it. Otherwise
	// Units lists the units to release.
	WholeServer bool        `json:"All"`
	Grant       grant.Grant `json:",omitzero"`
	Units       []unit.Unit `json:",omitempty"`
	// Term and Version identify the assignment in force when the release was requested. The units stay released until
	// the lease holder applies a newer assignment.
	Term    int64 `json:",omitempty"`
	Version int64 `json:",omitempty"`
	// SuccessorServer is the backend server whose lease holder receives the dedup entries, and SuccessorHost the host
	// of that lease holder. Both are empty if there is no successor.
	SuccessorServer string `json:"Successor,omitempty"`
	SuccessorHost   string `json:"Heir,omitempty"`
}

// IsSupersededBy reports whether the assignment of the given term and version is newer than the release.
func (r Release) IsSupersededBy(term, version int64) bool {
	return term > r.Term || term == r.Term && version > r.Version
}

// Covers reports whether the release includes u.
func (r Release) Covers(u unit.Unit) bool {
	if r.WholeServer {
		return true
	}
	for _, v := range r.Units {
		if v == u {
			return true
		}
	}
	return false
}
