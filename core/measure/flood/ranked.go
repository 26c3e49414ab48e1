package flood

// ranked is Redwingsill's own policy: requests are served by rank, with a minimum share for each rank that has a floor.
type ranked struct{}

func (ranked) policy() {}
