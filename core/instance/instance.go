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
	// WarmUpEnd is when the server reaches its full speed.
	WarmUpEnd time.Time
}

// Incarnation returns a name that is unique among the incarnations of all backend servers: ID@StartMillis.
func (i Instance) Incarnation() string { return i.ID + "@" + strconv.FormatInt(i.StartMillis, 10) }

// WithWarmUpEnd returns the instance with another time at which the server reaches its full speed.
func (i Instance) WithWarmUpEnd(end time.Time) Instance {
	i.WarmUpEnd = end
	return i
}

// WithLeaving returns the instance marked as leaving. No request may be sent to it from the deadline on.
func (i Instance) WithLeaving(deadline time.Time) Instance {
	i.IsLeaving, i.SendDeadline = true, deadline
	return i
}

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
