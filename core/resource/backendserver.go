package resource

// BackendServer declares one backend server of a service.
type BackendServer struct {
	Name       string
	Service    string
	DataCentre string
	// Address is the IP number and port that the server listens on.
	Address string
	// Slots is the number of requests that the server runs at once.
	Slots int
	// Connections is the number of connections that the server accepts in all.
	Connections int
	// ChecksGrants says that the server refuses orders with an older grant than one it has seen.
	ChecksGrants bool
}

// ResourceName implements [Resource].
func (b BackendServer) ResourceName() string { return b.Name }

func (BackendServer) resource() {}
