package event

// VerdictsHeard is the monitoring group's word on which backend servers are down. Silence keeps the last word.
type VerdictsHeard struct {
	Down []string
}

func (VerdictsHeard) event() {}
