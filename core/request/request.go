// Package request holds a caller's request as the decisions see it.
package request

import (
	"time"

	"redwingsill/core/unit"
)

// Request is one request of a caller. The decisions read all but Attributes and Body.
type Request struct {
	// ID marks work that must not repeat. It is empty for other work.
	ID string `json:",omitempty"`
	// IssuedAt is the time that the id carries, by the caller's wall clock.
	IssuedAt time.Time `json:",omitzero"`
	Service  string
	Key      string `json:",omitempty"`
	Rank     string
	Caller   string `json:",omitempty"`
	// Deadline is when the caller stops waiting. It travels as Patience, since clocks differ.
	Deadline time.Time `json:"-"`
	// Patience is the time left until the deadline when the request was sent on.
	Patience time.Duration
	// Attributes carry what the request says beside its body, in the words of the front end.
	Attributes map[string]string `json:",omitempty"`
	Body       []byte            `json:",omitempty"`
}

// Hash returns the hash that finds the request's unit: that of its key, else of its id, else 0.
func (r Request) Hash() uint64 {
	switch {
	case r.Key != "":
		return unit.HashKey(r.Key)
	case r.ID != "":
		return unit.HashKey(r.ID)
	}
	return 0
}

// MustNotRepeat reports whether the request may run at most once.
func (r Request) MustNotRepeat() bool { return r.ID != "" }

// WithDeadline returns the request with its deadline at a time.
func (r Request) WithDeadline(at time.Time) Request {
	r.Deadline = at
	return r
}

// WithPatience returns the request as it is sent on at now.
func (r Request) WithPatience(now time.Time) Request {
	r.Patience = r.Deadline.Sub(now)
	return r
}
