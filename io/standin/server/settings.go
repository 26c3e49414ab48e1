package server

import "time"

// settings configures a stand-in backend server.
type settings struct {
	Name string
	// Slots is the number of requests that may run at the same time.
	Slots int
	// Connections is the number of open connections beyond which requests are refused.
	Connections int
	// ChecksGrants makes the server refuse requests whose grant is older than that of the last admitted request.
	ChecksGrants bool
	// ServiceTime is the mean duration of a request.
	ServiceTime time.Duration
	// ColdPeriod is the time after the start in which requests take coldFactor times as long.
	ColdPeriod time.Duration
	// Seed is that of the random service times.
	Seed uint64
}
