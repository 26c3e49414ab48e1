package event

// PlatformFailed reports that the effect ReadKey or WriteKey with the same ID failed or got no response. A write may
// nevertheless have been applied.
type PlatformFailed struct {
	ID int64
}

func (PlatformFailed) event() {}
