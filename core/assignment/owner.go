package assignment

// owner is the backend server that owns a unit, and the count of the unit's owners so far.
type owner struct {
	Server     string
	Generation int64
}
