package event

// Cancelled reports that the caller of a request has disconnected or that the request's deadline has passed.
type Cancelled struct {
	Server string
	Ticket uint64
	// DeadlinePassed is set when the deadline has passed.
	DeadlinePassed bool
}

func (Cancelled) event() {}

// ServerName implements [ServerEvent].
func (e Cancelled) ServerName() string { return e.Server }
