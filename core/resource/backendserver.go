package resource

// BackendServer declares one backend server of a service.
type BackendServer struct {
	Name       string
	Service    string
	DataCentre string
	// Address is the IP address and port that the server listens on.
	Address string
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// Connections is the total number of connections that the server accepts.
	Connections int
	// ChecksGrants is set when the server rejects requests with a grant, the fencing token of a lease, that is older than
	// one it has seen.
	ChecksGrants bool
}

// ResourceName implements [Resource].
func (b BackendServer) ResourceName() string { return b.Name }

func (BackendServer) resource() {}
