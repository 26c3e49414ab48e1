package route

// Peer is the route to another entry host. Server is empty if that host is to choose the backend server.
type Peer struct {
	Host   string
	Server string
}

func (Peer) route() {}
