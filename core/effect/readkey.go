package effect

// ReadKey reads a key of the platform's key-value store. If AfterRevision is not negative, the read blocks until the
// key has a higher revision or the platform's watch expires.
type ReadKey struct {
	// ID identifies the call; the event that answers it has the same ID.
	ID            int64
	Key           string
	AfterRevision int64
}

func (ReadKey) effect() {}
