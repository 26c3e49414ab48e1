package ownership

// report is the figures, ready to be encoded.
type report struct {
	Seed   uint64
	Faults []faultResult
	Moves  []moveResult
	Loads  []loadResult
}
