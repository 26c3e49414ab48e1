package event

// PlatformFailed reports that an effect ReadKey or WriteKey failed or got no response. A write may nevertheless
// have been applied.
type PlatformFailed struct {
	ID int64
}

func (PlatformFailed) event() {}
