// Package versions holds the versions that a host has of each thing that its cell shares.
package versions

import "fmt"

const textFormat = "%d %d.%d %d.%d %d"

// Versions is the versions that a host holds.
type Versions struct {
	Configuration     int64
	AssignmentTerm    int64
	AssignmentVersion int64
	ViewTerm          int64
	ViewVersion       int64
	// Members stands for the quorums and successors.
	MembersDigest uint64
}

// HasOlderAssignment reports whether the assignment is older than that of o.
func (v Versions) HasOlderAssignment(o Versions) bool {
	return v.AssignmentTerm < o.AssignmentTerm ||
		v.AssignmentTerm == o.AssignmentTerm && v.AssignmentVersion < o.AssignmentVersion
}

// HasOlderView reports whether the view is older than that of o.
func (v Versions) HasOlderView(o Versions) bool {
	return v.ViewTerm < o.ViewTerm || v.ViewTerm == o.ViewTerm && v.ViewVersion < o.ViewVersion
}

// MarshalText returns all versions in one text, since a stamp is in every message.
func (v Versions) MarshalText() ([]byte, error) {
	return fmt.Appendf(nil, textFormat, v.Configuration, v.AssignmentTerm, v.AssignmentVersion, v.ViewTerm, v.ViewVersion, v.MembersDigest), nil
}

// UnmarshalText reads what MarshalText returned.
func (v *Versions) UnmarshalText(text []byte) error {
	_, err := fmt.Sscanf(string(text), textFormat, &v.Configuration, &v.AssignmentTerm, &v.AssignmentVersion, &v.ViewTerm,
		&v.ViewVersion, &v.MembersDigest)
	return err
}
