// Package ownerload holds the current load of an owner of keys.
package ownerload

// OwnerLoad is the current requests of one incarnation of a backend server, by key.
type OwnerLoad struct {
	// Waiting lists the keys of the requests that wait for the owner, next to run first.
	Waiting []int
	// Running lists the keys of the requests that run at the owner.
	Running []int
	// Free is the number of further requests that the owner can run now; 0 while it is paused or has just started.
	Free int
}
