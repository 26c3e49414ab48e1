package event

// ServerEvent is an event that concerns the steward of one backend server.
type ServerEvent interface {
	Event
	// ServerName returns the name of the backend server.
	ServerName() string
}
