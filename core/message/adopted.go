package message

// Adopted acknowledges an [Adopt].
type Adopted struct {
	ReleaseID int64
}

func (Adopted) message() {}
