package ownership

// faultResult is the effect of one fault over all its trials.
type faultResult struct {
	Fault  string
	Trials int
	// UnservedP50Millis, UnservedP99Millis and UnservedMaxMillis describe the outages of the units that had one.
	UnservedP50Millis float64
	UnservedP99Millis float64
	UnservedMaxMillis float64
	// AffectedShare is the share of units, from 0 to 1, that had an outage.
	AffectedShare float64 `json:"Touched"`
	// OwnershipViolations is the number of invariant violations that the simulations recorded, at most 20 for each trial.
	OwnershipViolations int `json:"KeysWithTwoOwner"`
	// Moved is the number of units whose owner changed.
	Moved int
	// MinMoved is the number of units of the servers that were lost or left, all of which must move.
	MinMoved      int `json:"LeastMoves"`
	UnservedAtEnd int `json:"NotServedAtEnd"`
}
