package event

// KeyWritten answers an effect WriteKey that took effect.
type KeyWritten struct {
	ID       int64
	Revision int64
}

func (KeyWritten) event() {}
