package flood

// ranked is the system's own way.
type ranked struct{}

func (ranked) policy() {}
