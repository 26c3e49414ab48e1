package server

import "time"

// settings configures a server.
type settings struct {
	Name         string
	Slots        int
	Connections  int
	ChecksGrants bool
	// ServiceTime is the mean duration of a request.
	ServiceTime time.Duration
	// ColdPeriod is the time after the start in which requests take coldFactor times as long.
	ColdPeriod time.Duration
	Seed       uint64
}
