package ingress

import "time"

// drainSchedule is the schedule by which a host shuts down.
type drainSchedule struct {
	// lastRequest is the time after which the host accepts no requests.
	lastRequest time.Time
	// stopAt is the time at which the requests in progress are cancelled. The process ends shortly afterwards.
	stopAt time.Time
}

// rejects reports whether a request that arrives at now is to be refused, since it arrives too late or its expected
// duration ends after stopAt.
func (d *drainSchedule) rejects(now time.Time, expected time.Duration) bool {
	return now.After(d.lastRequest) || now.Add(expected).After(d.stopAt)
}
