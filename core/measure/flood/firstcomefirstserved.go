package flood

// firstComeFirstServed serves requests of all ranks from one bounded queue in order of arrival.
type firstComeFirstServed struct{}

func (firstComeFirstServed) policy() {}
