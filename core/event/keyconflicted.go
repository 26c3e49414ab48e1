package event

// KeyConflicted answers the effect WriteKey with the same ID, whose expected revision did not match.
type KeyConflicted struct {
	ID int64
}

func (KeyConflicted) event() {}
