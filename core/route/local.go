package route

// Local is the route to a backend server whose lease is held by this host.
type Local struct {
	Server string
}

func (Local) route() {}
