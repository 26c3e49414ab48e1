package assignment

// owner is the backend server that owns a unit.
type owner struct {
	// Server is the name of the backend server, or "" if the unit has no owner.
	Server string
	// Generation is incremented at each change of the owner. That of a key that moves out of its hash slot continues from
	// the generation of the hash slot. It is unrelated to the generation of a grant.
	Generation int64
}
