// Package hostentry defines an entry of the platform's list of entry hosts and backend servers.
package hostentry

// HostEntry is an entry host or a backend server in the platform's list.
type HostEntry struct {
	Name       string
	DataCentre string
	// Address is the IP address and port at which an entry host accepts connections from its peers. It is empty for a
	// backend server.
	Address string
	// Leaving is set if the platform is about to stop the host or the backend server.
	Leaving bool `json:",omitempty"`
}
