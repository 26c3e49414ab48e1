package event

// KeyWritten answers the effect WriteKey with the same ID, which succeeded.
type KeyWritten struct {
	ID int64
	// Revision is the key's new revision.
	Revision int64
}

func (KeyWritten) event() {}
