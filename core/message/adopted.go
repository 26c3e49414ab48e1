package message

// Adopted answers an [Adopt].
type Adopted struct {
	ReleaseID int64
}

func (Adopted) message() {}
