package flood

// strictRanks is the system's own way without floors for the lower ranks.
type strictRanks struct{}

func (strictRanks) policy() {}
