package route

// Nowhere says that the request can't be routed now.
type Nowhere struct {
	Reason string
}

func (Nowhere) route() {}
