package route

// Peer says that another entry host takes the request. Server is empty where that host is to choose.
type Peer struct {
	Host   string
	Server string
}

func (Peer) route() {}
