package effect

// ListHosts requests the platform's list of entry hosts and backend servers.
type ListHosts struct{}

func (ListHosts) effect() {}
