package leader

import (
	"bytes"
	"time"

	"redwingsill/core/event"
	"redwingsill/core/platformkey"
)

// withLease notes a renewal that took effect. The vote goes on only from one revision to the next.
func (a Leader) withLease(revision int64, now time.Time) Leader {
	a.leaseRevision, a.leaseAt = revision, now
	a.hasVote = a.hasVote && !a.isCreating
	if a.hasVote {
		a.votedAt = a.leaseTriedAt
	}
	return a
}

// withLeaseRead resolves a renewal whose answer was lost: what this start of the host wrote is its own.
func (a Leader) withLeaseRead(e event.KeyRead, now time.Time) Leader {
	a.isLeaseUnsure = false
	if e.Revision != 0 && bytes.Equal(e.Value, a.lease) {
		return a.withLease(e.Revision, now)
	}
	a.leaseRevision, a.hasVote = 0, false
	return a
}

func (a Leader) hasLease(now time.Time) bool {
	return a.leaseRevision != 0 && now.Sub(a.leaseAt) < a.timing.LeaseTTL
}

func (a Leader) leaseKey() string { return a.key(platformkey.StoreLease) }
