package notification

// Pong says that it is.
type Pong struct{}

func (Pong) notice() {}
