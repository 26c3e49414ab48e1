package event

// PlatformFailed reports that an effect ReadKey or WriteKey got no response. A write may have been applied.
type PlatformFailed struct {
	ID int64
}

func (PlatformFailed) event() {}
