package operator

// serverExplanation describes the state of a backend server. Lease, Running and Waiting are set only by the host that
// holds the server's lease.
type serverExplanation struct {
	Server      string
	Service     string
	DataCentre  string
	IsDown      bool
	IsLeaving   bool
	LeaseHolder string `json:"Steward"`
	Units       int
	Lease       *leaseStatus   `json:"Permit,omitempty"`
	Running     int            `json:",omitempty"`
	Waiting     map[string]int `json:",omitempty"`
}
