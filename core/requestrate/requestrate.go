// Package requestrate holds the rate of requests for one key.
package requestrate

// RequestRate is how often a key was asked for at one backend server.
type RequestRate struct {
	Service string
	Server  string
	KeyHash uint64 `json:"Hash"`
	// Rate is in requests per second.
	Rate float64
}
