package event

// PlatformFailed answers an effect ReadKey or WriteKey without an answer. A write may have taken effect.
type PlatformFailed struct {
	ID int64
}

func (PlatformFailed) event() {}
