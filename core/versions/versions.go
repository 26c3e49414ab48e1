// Package versions holds the versions that a host has of each thing that its cell shares.
package versions

import "fmt"

const form = "%d %d.%d %d.%d %d"

// Versions is the versions that a host holds.
type Versions struct {
	Configuration     int64
	AssignmentTerm    int64
	AssignmentVersion int64
	ViewTerm          int64
	ViewVersion       int64
	// Members stands for the quorums and successors.
	Members uint64
}

// HasOlderAssignment reports whether the assignment is older than that of o.
func (s Versions) HasOlderAssignment(o Versions) bool {
	return s.AssignmentTerm < o.AssignmentTerm ||
		s.AssignmentTerm == o.AssignmentTerm && s.AssignmentVersion < o.AssignmentVersion
}

// HasOlderView reports whether the view is older than that of o.
func (s Versions) HasOlderView(o Versions) bool {
	return s.ViewTerm < o.ViewTerm || s.ViewTerm == o.ViewTerm && s.ViewVersion < o.ViewVersion
}

// MarshalText returns all versions in one text, since a stamp is in every message.
func (s Versions) MarshalText() ([]byte, error) {
	return fmt.Appendf(nil, form, s.Configuration, s.AssignmentTerm, s.AssignmentVersion, s.ViewTerm, s.ViewVersion, s.Members), nil
}

// UnmarshalText reads what MarshalText returned.
func (s *Versions) UnmarshalText(text []byte) error {
	_, err := fmt.Sscanf(string(text), form, &s.Configuration, &s.AssignmentTerm, &s.AssignmentVersion, &s.ViewTerm,
		&s.ViewVersion, &s.Members)
	return err
}
