package flood

// firstComeFirstServed takes requests in the order of their arrival, whatever their rank, into one bounded queue.
type firstComeFirstServed struct{}

func (firstComeFirstServed) policy() {}
