package event

// KeyRead answers the effect ReadKey with the same ID.
type KeyRead struct {
	ID    int64
	Value []byte
	// Revision is the key's revision, or 0 if the key does not exist. If the watch has expired, it is the AfterRevision of
	// the effect, and Value is empty.
	Revision int64
}

func (KeyRead) event() {}
