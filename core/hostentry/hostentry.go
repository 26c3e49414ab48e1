// Package hostentry holds one line of the platform's list of hosts.
package hostentry

// HostEntry is a host that the platform lists: an entry host or a backend server.
type HostEntry struct {
	Name       string
	DataCentre string
	// Address is the IP number and port on which an entry host listens for its peers.
	Address string
	// Leaving says that the platform will stop the host.
	Leaving bool `json:",omitempty"`
}
