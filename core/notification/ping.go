package notification

// Ping asks whether a host is there.
type Ping struct{}

func (Ping) notice() {}
