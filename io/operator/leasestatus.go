package operator

// leaseStatus describes a lease on a backend server.
type leaseStatus struct {
	Term       int64
	Generation int64
	IsValid    bool
	ExpiresIn  string `json:"EndsIn"`
}
