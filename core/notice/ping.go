package notice

// Ping asks whether a host is there.
type Ping struct{}

func (Ping) notice() {}
