// Package requestrate holds the request rate of a key or of a backend server.
package requestrate

// RequestRate is the rate of requests for one key, or for all keys, at one backend server.
type RequestRate struct {
	Service string
	Server  string
	// KeyHash is the hash of the key, or 0 for all keys.
	KeyHash uint64 `json:"Hash"`
	// Rate is in requests per second.
	Rate float64
}
