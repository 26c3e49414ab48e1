package route

// Local says that this host is the steward of the backend server.
type Local struct {
	Server string
}

func (Local) route() {}
