package assignment

// owner is the backend server that owns a unit and the number of owners that the unit has had.
type owner struct {
	Server     string
	Generation int64
}
