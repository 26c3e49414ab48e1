// Package heat holds the rate of requests for one key.
package heat

// Heat is how often a key was asked for at one backend server.
type Heat struct {
	Service string
	Server  string
	Hash    uint64
	// Rate is in requests per second.
	Rate float64
}
