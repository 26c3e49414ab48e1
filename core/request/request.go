// Package request holds a caller's request, independent of the protocol of the front end.
package request

import (
	"time"

	"redwingsill/core/unit"
)

// Request is one request of a caller. Attributes and Body are passed on and do not influence routing or queueing.
type Request struct {
	// ID is the request ID of a request that may run at most once. It is empty for others.
	ID string `json:",omitempty"`
	// IssuedAt is the timestamp in ID, by the caller's wall clock.
	IssuedAt time.Time `json:",omitzero"`
	Service  string
	Key      string `json:",omitempty"`
	Rank     string
	Caller   string `json:",omitempty"`
	// Deadline is when the caller stops waiting. It is sent as TimeLeft, since clocks differ between hosts.
	Deadline time.Time `json:"-"`
	// TimeLeft is the time until the deadline when the request was forwarded.
	TimeLeft time.Duration `json:"Patience"`
	// Attributes hold the metadata of the request, such as headers, in the encoding of the front end.
	Attributes map[string]string `json:",omitempty"`
	Body       []byte            `json:",omitempty"`
}

// Hash returns the hash of the key, else of the request ID, else 0. It selects the request's ownership unit.
func (r Request) Hash() uint64 {
	switch {
	case r.Key != "":
		return unit.HashKey(r.Key)
	case r.ID != "":
		return unit.HashKey(r.ID)
	}
	return 0
}

// RunsAtMostOnce reports whether the request may run at most once.
func (r Request) RunsAtMostOnce() bool { return r.ID != "" }

// WithDeadline returns the request with another deadline.
func (r Request) WithDeadline(deadline time.Time) Request {
	r.Deadline = deadline
	return r
}

// WithTimeLeft returns the request with TimeLeft as of now, for forwarding.
func (r Request) WithTimeLeft(now time.Time) Request {
	r.TimeLeft = r.Deadline.Sub(now)
	return r
}
