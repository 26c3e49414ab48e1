package effect

// ReadKey reads a key of the platform's service. Where After is not negative, it waits until the key's revision is
// higher, for as long as the platform's watches last.
type ReadKey struct {
	ID    int64
	Key   string
	After int64
}

func (ReadKey) effect() {}
