package event

// VerdictsReceived lists the backend servers that the monitoring system reports as down. The last list stays in force
// until the next event.
type VerdictsReceived struct {
	Down []string
}

func (VerdictsReceived) event() {}
