package event

// Cancelled says that the caller of a request has gone or its deadline has passed.
type Cancelled struct {
	Server string
	Ticket uint64
	// Late says that the deadline has passed.
	Late bool
}

func (Cancelled) event() {}

// ServerName implements [ServerEvent].
func (e Cancelled) ServerName() string { return e.Server }
