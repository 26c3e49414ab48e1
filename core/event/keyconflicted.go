package event

// KeyConflicted answers an effect WriteKey whose revision was not the key's.
type KeyConflicted struct {
	ID int64
}

func (KeyConflicted) event() {}
