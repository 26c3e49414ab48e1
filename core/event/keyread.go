package event

// KeyRead answers an effect ReadKey. Revision 0 means that the key does not exist.
type KeyRead struct {
	ID       int64
	Value    []byte
	Revision int64
}

func (KeyRead) event() {}
