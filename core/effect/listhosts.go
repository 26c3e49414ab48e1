package effect

// ListHosts asks for the platform's list of hosts.
type ListHosts struct{}

func (ListHosts) effect() {}
