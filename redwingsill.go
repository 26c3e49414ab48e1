// Package redwingsill routes requests to servers that own their keys exclusively. This package is the way in for
// another front end: every decision of an entry host as one value that is stepped by hand, without I/O, goroutines or a
// clock of its own.
package redwingsill

import (
	"time"

	"redwingsill/core/host"
	"redwingsill/core/timing"
)

// Host is the state of one entry host with all its roles. [host.Host.Step] takes an event and the time, and returns the
// next state and the effects to carry out.
type Host = host.Host

// New returns an entry host that has just started at now. The incarnation must differ from start to start.
func New(name, dataCentre string, incarnation int64, t timing.Timing, now time.Time) Host {
	return host.New(name, dataCentre, incarnation, t, now)
}
