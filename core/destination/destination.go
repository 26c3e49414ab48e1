// Package destination holds a service that a route sends requests to.
package destination

// Destination is one service of a route and its part of the requests.
type Destination struct {
	Service string
	// Weight is the part relative to the other destinations' weights.
	Weight int
}
