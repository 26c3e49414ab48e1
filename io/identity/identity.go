// Package identity defines the identity of an entry host.
package identity

// Identity identifies one run of an entry host process. A restarted host keeps its name and data centre and has a higher
// incarnation.
type Identity struct {
	Name       string
	DataCentre string
	// Incarnation increases with each start.
	Incarnation int64
}
