package flood

// strictRanks is the [ranked] policy without floors, so that urgent ranks can starve the lower ones.
type strictRanks struct{}

func (strictRanks) policy() {}
