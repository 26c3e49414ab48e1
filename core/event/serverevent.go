package event

// ServerEvent is an event for the lease holder of one backend server.
type ServerEvent interface {
	Event
	// ServerName returns the name of the backend server.
	ServerName() string
}
