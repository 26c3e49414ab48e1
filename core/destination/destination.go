// Package destination holds a service that a routing rule sends requests to.
package destination

// Destination is a weighted service of a routing rule.
type Destination struct {
	Service string
	// Weight is relative to the weights of the rule's other destinations.
	Weight int
}
