// Package load holds a steward's own figures on one backend server.
package load

// Load is the work at one backend server as its steward counts it.
type Load struct {
	Server  string
	Waiting int
	Running int
	Slots   int
}

// Score returns the work for each slot; less is better.
func (l Load) Score() float64 {
	return float64(l.Waiting+l.Running) / float64(max(1, l.Slots))
}
