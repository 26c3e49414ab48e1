// Package ownerload holds how busy one owner of keys is at a moment.
package ownerload

// OwnerLoad is the requests of one life of a backend server by their keys.
type OwnerLoad struct {
	// Waiting lists the keys of requests that wait for the owner, in the order in which they should run.
	Waiting []int
	// Running lists the keys of requests that run there.
	Running []int
	// Free is how many more requests it can run now; 0 where it rests or has just started.
	Free int
}
