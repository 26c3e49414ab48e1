// Package requestrate holds the request rate of a key.
package requestrate

// RequestRate is the rate of requests for one key at one backend server.
type RequestRate struct {
	Service string
	Server  string
	KeyHash uint64 `json:"Hash"`
	// Rate is in requests per second.
	Rate float64
}
