package event

// Cancelled reports that the caller of a request no longer waits for the outcome.
type Cancelled struct {
	Server string
	Ticket uint64
	// DeadlinePassed is set when the request's deadline has passed. Otherwise the caller has disconnected.
	DeadlinePassed bool
}

func (Cancelled) event() {}

// ServerName implements [ServerEvent].
func (e Cancelled) ServerName() string { return e.Server }
