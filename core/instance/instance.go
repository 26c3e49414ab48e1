// Package instance describes incarnations of backend servers.
package instance

import (
	"strconv"
	"strings"
	"time"
)

// Instance is one incarnation of a backend server, as reported by discovery. It is immutable.
type Instance struct {
	// ID names the backend server. Its incarnations share it.
	ID string
	// StartMillis is the start time in Unix milliseconds, or 0 if it is not known. It tells incarnations with the same
	// ID apart.
	StartMillis int64
	Service     string
	// Address is the host and port that receive the requests.
	Address    string
	DataCentre string
	// Slots is the maximum number of requests that run concurrently.
	Slots int
	// IsLeaving is set when the server drains and should receive no new requests.
	IsLeaving bool
	// SendDeadline is the time from which no request may be sent to a leaving server.
	SendDeadline time.Time
	// IsEvacuated is set, beside IsLeaving, while the server's data centre is being evacuated. From SendDeadline on such a
	// server gets no grants and releases either. Unlike a server that drains, it may be used again.
	IsEvacuated bool
	// WarmUpEnd is when the server reaches its full speed.
	WarmUpEnd time.Time
	// ColdRate is how many requests a second each host that gives out slots of the server may start there before WarmUpEnd, or
	// 0 if there is no bound.
	ColdRate float64
}

// Incarnation returns a name that is unique among the incarnations of all backend servers: ID@StartMillis.
func (i Instance) Incarnation() string { return i.ID + "@" + strconv.FormatInt(i.StartMillis, 10) }

// WithWarmUpEnd returns the instance with another time at which the server reaches its full speed.
func (i Instance) WithWarmUpEnd(end time.Time) Instance {
	i.WarmUpEnd = end
	return i
}

// WithColdRate returns the instance with another rate of requests while it is cold.
func (i Instance) WithColdRate(rate float64) Instance {
	i.ColdRate = rate
	return i
}

// IsColdLimited reports whether the server is cold at now and the rate of its requests is bounded.
func (i Instance) IsColdLimited(now time.Time) bool { return i.ColdRate > 0 && now.Before(i.WarmUpEnd) }

// WithLeaving returns the instance marked as leaving. No request may be sent to it from the deadline on.
func (i Instance) WithLeaving(deadline time.Time) Instance {
	i.IsLeaving, i.SendDeadline = true, deadline
	return i
}

// WithEvacuation returns the instance marked as evacuated, and so as leaving. Nothing may be sent to it from the deadline on,
// or from an earlier one at which it leaves anyway.
func (i Instance) WithEvacuation(deadline time.Time) Instance {
	i.IsEvacuated = true
	if i.IsLeaving && i.SendDeadline.Before(deadline) {
		return i
	}
	return i.WithLeaving(deadline)
}

// IsShutOff reports whether nothing at all may be sent to the server at now, since its evacuation is over its deadline.
func (i Instance) IsShutOff(now time.Time) bool { return i.IsEvacuated && !i.AcceptsRequests(now) }

// AcceptsRequests reports whether a request that has to run on this server, or was placed there, may be sent to it at
// now. A leaving server accepts such requests until its SendDeadline.
func (i Instance) AcceptsRequests(now time.Time) bool {
	return !i.IsLeaving || now.Before(i.SendDeadline)
}

// IDOf returns the backend server's ID from the name of an incarnation.
func IDOf(incarnation string) string {
	if i := strings.LastIndexByte(incarnation, '@'); i >= 0 {
		return incarnation[:i]
	}
	return incarnation
}
