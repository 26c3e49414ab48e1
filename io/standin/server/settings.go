package server

import "time"

// settings is how the server behaves.
type settings struct {
	Name         string
	Slots        int
	Connections  int
	ChecksGrants bool
	// ServiceTime is the mean time of one request; ColdFor the time after the start in which it is three times that.
	ServiceTime time.Duration
	ColdFor     time.Duration
	Seed        uint64
}
