// Package instance holds one life of a backend server, as discovery tells it.
package instance

import (
	"strconv"
	"strings"
	"time"
)

// Instance is one life of a backend server. It is immutable.
type Instance struct {
	// ID names the backend server. A second life may have the same.
	ID string
	// Born tells lives with one ID apart: the time of the start in Unix milliseconds, or 0 where it is not known.
	Born    int64
	Service string
	// Address is the host and port that requests go to.
	Address    string
	DataCentre string
	// Slots is how many requests run at the same time.
	Slots int
	// IsLeaving says that no new requests should come.
	IsLeaving bool
	// LastSend is when the last request may be sent to a server that is leaving.
	LastSend time.Time
	// WarmUntil is when the server has its full speed.
	WarmUntil time.Time
}

// Incarnation returns a name that no other life of any backend server has.
func (i Instance) Incarnation() string { return i.ID + "@" + strconv.FormatInt(i.Born, 10) }

// WithWarmUntil returns the instance with the time at which it has its full speed.
func (i Instance) WithWarmUntil(at time.Time) Instance {
	i.WarmUntil = at
	return i
}

// WithLeaving returns the instance as one that is leaving, to which no request may be sent after a time.
func (i Instance) WithLeaving(lastSend time.Time) Instance {
	i.IsLeaving, i.LastSend = true, lastSend
	return i
}

// IsOpen reports whether a request that needs this server may be sent to it at now.
func (i Instance) IsOpen(now time.Time) bool { return !i.IsLeaving || now.Before(i.LastSend) }

// IDOf returns the ID of a life's name.
func IDOf(life string) string {
	if i := strings.LastIndexByte(life, '@'); i >= 0 {
		return life[:i]
	}
	return life
}
