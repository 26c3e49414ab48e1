package event

// KeyWritten answers an effect WriteKey that succeeded.
type KeyWritten struct {
	ID       int64
	Revision int64
}

func (KeyWritten) event() {}
