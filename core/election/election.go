// Package election holds what a new arbiter starts from.
package election

import (
	"time"

	"redwingsill/core/message"
	"redwingsill/core/quorum"
)

// Result is what a candidate knows when a majority follows it.
type Result struct {
	Term    int64
	Quorums quorum.Quorums
	// Lease is the value of the lease, and LeaseRevision its revision, or 0 where the lease is not held.
	StoreLease         []byte
	StoreLeaseRevision int64
	// LeaseSince is when the newest write of the lease was sent, or zero where the lease is not held.
	StoreLeaseSentAt time.Time
	// PermitsEnd is when the last permit of every earlier arbiter has surely ended.
	EarlierLeasesEnd time.Time
	// Followed are the promises of the majority.
	Promises []message.Followed
}
