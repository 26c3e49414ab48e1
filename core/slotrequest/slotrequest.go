// Package slotrequest holds a request's wish for a slot at a backend server.
package slotrequest

import "time"

// NoKey is the key of requests that have none.
const NoKey = -1

// SlotRequest is one request that wants a slot.
type SlotRequest struct {
	// Ticket names the ask; no other ask of any entry host has it.
	Ticket uint64
	// DataCentre is where the asking host is.
	DataCentre string
	Service    string
	// Key is the key of a divided service, or [NoKey].
	Key int
	// Rank is the urgency; 0 is the most urgent.
	Rank int
	// Objective is when an answer loses part of its worth.
	Objective time.Time
	// Deadline is when an answer is worth nothing.
	Deadline time.Time
	// Excluded lists lives of backend servers that the request has been sent to.
	Excluded []string
	// IsRepeat says that the request was sent before.
	IsRepeat bool
	// MayRepeat says that the request may run more than once, so that a doubtful server may be tried with it.
	MayRepeat bool
}

// HasKey reports whether the request is for one key.
func (a SlotRequest) HasKey() bool { return a.Key != NoKey }
