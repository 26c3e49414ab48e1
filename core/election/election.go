// Package election defines the result of an election.
package election

import (
	"time"

	"redwingsill/core/message"
	"redwingsill/core/quorum"
)

// Result is the state with which an elected candidate becomes the leader.
type Result struct {
	Term    int64
	Quorums quorum.Quorums
	// StoreLease is the value of the store lease.
	StoreLease []byte
	// StoreLeaseRevision is the revision of the store lease, or 0 if it is not held.
	StoreLeaseRevision int64
	// StoreLeaseSentAt is when the newest successful write of the store lease was sent or, if its answer was lost, the read
	// that found the value. It is zero if the store lease is not held.
	StoreLeaseSentAt time.Time
	// EarlierLeasesEnd is the time by which all leases of earlier leaders have expired, or zero if the group has had no
	// earlier leader.
	EarlierLeasesEnd time.Time
	// Promises are the answers of the members that have promised to follow the candidate.
	Promises []message.Followed
}
