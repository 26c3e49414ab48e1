package route

// Unroutable reports that there is no route for the request at present.
type Unroutable struct {
	Reason string
}

func (Unroutable) route() {}
