package flood

// freeRetries is the system's own way with callers' requests tried again at once, without a budget, when they are
// refused.
type freeRetries struct{}

func (freeRetries) policy() {}
