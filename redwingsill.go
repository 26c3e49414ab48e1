// Package redwingsill routes each request to the backend server that exclusively owns the request's key. It exposes the
// decision logic of an entry host, which receives the requests of callers and forwards them to backend servers. The logic is
// a deterministic state machine that other front ends can embed: it performs no I/O, starts no goroutines and reads no clock.
package redwingsill

import (
	"time"

	"redwingsill/core/host"
	"redwingsill/core/timing"
)

// Host is the immutable state of one entry host, including its roles (member, candidate, leader) in the group that the
// entry hosts of its data centre form. [host.Host.Step] takes an event and the current time, and returns the next state and
// the effects that the calling code must perform.
type Host = host.Host

// New returns the initial state of an entry host that starts at now. The incarnation must be higher at each start of the same
// host, because a leader ignores reports of a lower incarnation than the latest one that it knows.
func New(name, dataCentre string, incarnation int64, t timing.Timing, now time.Time) Host {
	return host.New(name, dataCentre, incarnation, t, now)
}
