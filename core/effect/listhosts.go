package effect

// ListHosts requests the platform's list of hosts.
type ListHosts struct{}

func (ListHosts) effect() {}
