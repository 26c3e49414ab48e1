// Package ownerload holds the current load of an owner of keys.
package ownerload

// OwnerLoad lists the keys of the requests that wait for or run at one incarnation of a backend server.
type OwnerLoad struct {
	// Waiting lists the keys of the requests that wait for the owner, next to run first.
	Waiting []int
	// Running lists the keys of the requests that run at the owner.
	Running []int
	// Free is the number of further requests that the owner can run now. It is 0 while the owner warms up, is leaving,
	// has not answered since a backoff or fails often.
	Free int
}
