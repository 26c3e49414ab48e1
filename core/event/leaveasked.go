package event

// LeaveAsked says that this entry host is to stop.
type LeaveAsked struct{}

func (LeaveAsked) event() {}
