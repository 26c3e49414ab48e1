package operator

// serverExplanation describes the state of a backend server. Lease, Running and Waiting are set only if the responding
// host has a lease holder for the server, whose lease may have expired.
type serverExplanation struct {
	Server      string
	Service     string
	DataCentre  string
	IsDown      bool
	IsLeaving   bool
	LeaseHolder string `json:"Steward"`
	// Units is the number of hash slots and hot keys that the server owns.
	Units int
	Lease *leaseStatus `json:"Permit,omitempty"`
	// Running is the number of requests that the lease holder is running on the server.
	Running int `json:",omitempty"`
	// Waiting gives the number of queued requests of each rank.
	Waiting map[string]int `json:",omitempty"`
}
