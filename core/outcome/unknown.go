package outcome

// Unknown says that the request may have run or not.
type Unknown struct {
	Reason string
}

func (Unknown) outcome() {}
