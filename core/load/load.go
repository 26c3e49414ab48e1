// Package load holds the load of a backend server as its lease holder counts it.
package load

// Load is the number of requests at one backend server, as its lease holder counts them.
type Load struct {
	Server  string
	Waiting int
	Running int
	Slots   int
}

// RequestsPerSlot returns the waiting and running requests per slot.
func (l Load) RequestsPerSlot() float64 {
	return float64(l.Waiting+l.Running) / float64(max(1, l.Slots))
}
