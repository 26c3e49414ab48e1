package operator

// leaseStatus describes the newest lease of this host on a backend server.
type leaseStatus struct {
	// Term and Generation form the grant of the lease.
	Term       int64
	Generation int64
	IsValid    bool
	// ExpiresIn is a duration in Go's format, or "0s" if the lease has expired.
	ExpiresIn string `json:"EndsIn"`
}
