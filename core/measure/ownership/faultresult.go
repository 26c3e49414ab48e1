package ownership

// faultResult is what one fault cost.
type faultResult struct {
	Fault  string
	Trials int
	// Unserved is how long a unit was not served, over the units that the fault touched, in milliseconds.
	UnservedP50Millis float64
	UnservedP99Millis float64
	UnservedMaxMillis float64
	// Touched is the share of units that were not served for a while.
	Touched          float64
	KeysWithTwoOwner int
	Moved            int
	LeastMoves       int
	NotServedAtEnd   int
}
