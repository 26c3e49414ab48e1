package notification

// Pong answers [Ping].
type Pong struct{}

func (Pong) notification() {}
