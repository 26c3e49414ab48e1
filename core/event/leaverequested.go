package event

// LeaveRequested asks this entry host to drain and stop.
type LeaveRequested struct{}

func (LeaveRequested) event() {}
