package assignment

// owner is the backend server that owns a unit.
type owner struct {
	// Server is the name of the backend server, or "" if the unit has no owner.
	Server string
	// Generation is incremented at each change of the owner. It is unrelated to the generation of a grant.
	Generation int64
}
