package outcome

// Unknown reports that the request may or may not have run, for example because the answer was lost.
type Unknown struct {
	Reason string
}

func (Unknown) outcome() {}
