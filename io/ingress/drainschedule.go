package ingress

import "time"

// drain is the schedule by which a host shuts down.
type drain struct {
	// lastRequest is when the host stops accepting requests.
	lastRequest time.Time
	// stopAt is when the process ends.
	stopAt time.Time
}

// rejects reports whether a request with an expected duration should go to another host.
func (d *drain) rejects(now time.Time, expected time.Duration) bool {
	return now.After(d.lastRequest) || now.Add(expected).After(d.stopAt)
}
