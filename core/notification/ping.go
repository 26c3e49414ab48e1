package notification

// Ping asks a host whether it is alive.
type Ping struct{}

func (Ping) notification() {}
