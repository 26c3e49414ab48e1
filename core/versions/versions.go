// Package versions defines the versions of the state that the hosts of a group share.
package versions

import "fmt"

// textFormat is the text form of [Versions]: the fields in order, with a dot between the term and the version of one
// part.
const textFormat = "%d %d.%d %d.%d %d"

// Versions holds the version of each part of the shared state that a host has.
type Versions struct {
	// Configuration is the revision of the configuration.
	Configuration     int64
	AssignmentTerm    int64
	AssignmentVersion int64
	ViewTerm          int64
	ViewVersion       int64
	// MembersDigest is a hash of the quorums and successors.
	MembersDigest uint64
}

// HasOlderAssignment reports whether v has an older assignment than o.
func (v Versions) HasOlderAssignment(o Versions) bool {
	return v.AssignmentTerm < o.AssignmentTerm ||
		v.AssignmentTerm == o.AssignmentTerm && v.AssignmentVersion < o.AssignmentVersion
}

// HasOlderView reports whether v has an older view than o.
func (v Versions) HasOlderView(o Versions) bool {
	return v.ViewTerm < o.ViewTerm || v.ViewTerm == o.ViewTerm && v.ViewVersion < o.ViewVersion
}

// MarshalText encodes all versions in one short text, because every report and heartbeat carries them.
func (v Versions) MarshalText() ([]byte, error) {
	return fmt.Appendf(nil, textFormat, v.Configuration, v.AssignmentTerm, v.AssignmentVersion, v.ViewTerm, v.ViewVersion, v.MembersDigest), nil
}

// UnmarshalText decodes the text that MarshalText returns.
func (v *Versions) UnmarshalText(text []byte) error {
	_, err := fmt.Sscanf(string(text), textFormat, &v.Configuration, &v.AssignmentTerm, &v.AssignmentVersion, &v.ViewTerm,
		&v.ViewVersion, &v.MembersDigest)
	return err
}
