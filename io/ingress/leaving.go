package ingress

import "time"

// leaving is how a host stops.
type leaving struct {
	// lastRequest is when the last request is taken, and at when the host is gone.
	lastRequest time.Time
	at          time.Time
}

// isTooLate reports whether a request that needs some time should go to another host.
func (l *leaving) isTooLate(now time.Time, needed time.Duration) bool {
	return now.After(l.lastRequest) || now.Add(needed).After(l.at)
}
