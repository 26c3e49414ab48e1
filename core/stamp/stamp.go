// Package stamp holds the versions that a host has of each thing that its cell shares.
package stamp

// Stamp is the versions that a host holds.
type Stamp struct {
	Configuration     int64
	AssignmentTerm    int64
	AssignmentVersion int64
	ViewTerm          int64
	ViewVersion       int64
}

// HasOlderAssignment reports whether the assignment is older than that of o.
func (s Stamp) HasOlderAssignment(o Stamp) bool {
	return s.AssignmentTerm < o.AssignmentTerm ||
		s.AssignmentTerm == o.AssignmentTerm && s.AssignmentVersion < o.AssignmentVersion
}

// HasOlderView reports whether the view is older than that of o.
func (s Stamp) HasOlderView(o Stamp) bool {
	return s.ViewTerm < o.ViewTerm || s.ViewTerm == o.ViewTerm && s.ViewVersion < o.ViewVersion
}
