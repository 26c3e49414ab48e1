package event

// KeyConflicted answers an effect WriteKey whose expected revision did not match.
type KeyConflicted struct {
	ID int64
}

func (KeyConflicted) event() {}
