// Package load holds the numbers of requests and slots of a backend server.
package load

// Load is the number of waiting and of running requests at one backend server, as its lease holder counts them.
type Load struct {
	Server  string
	Waiting int
	Running int
	// Slots is how many requests the server can run concurrently.
	Slots int
}

// RequestsPerSlot returns the waiting and running requests per slot.
func (l Load) RequestsPerSlot() float64 {
	return float64(l.Waiting+l.Running) / float64(max(1, l.Slots))
}
