package notification

// ServerSlowed tells the host that gave out a slot that the machine of the backend server was slower or faster than usual when it
// answered. It precedes the report of the attempt. Hosts of an earlier version ignore it; they would reject a longer report.
type ServerSlowed struct {
	Service string
	Ticket  uint64
	// Percent is how long work takes on the machine, relative to the usual time.
	Percent int
}

func (ServerSlowed) notification() {}
