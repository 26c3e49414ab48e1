package leader

import (
	"bytes"
	"time"

	"redwingsill/core/event"
	"redwingsill/core/platformkey"
)

// withLease notes a renewal that took effect. The vote goes on only from one revision to the next.
func (l Leader) withStoreLease(revision int64, now time.Time) Leader {
	l.storeLeaseRevision, l.storeLeaseRenewedAt = revision, now
	l.hasStoreVote = l.hasStoreVote && !l.isCreatingStoreLease
	if l.hasStoreVote {
		l.storeVoteAt = l.storeLeaseTriedAt
	}
	return l
}

// withLeaseRead resolves a renewal whose answer was lost: what this start of the host wrote is its own.
func (l Leader) withStoreLeaseRead(e event.KeyRead, now time.Time) Leader {
	l.isStoreLeaseUnknown = false
	if e.Revision != 0 && bytes.Equal(e.Value, l.storeLease) {
		return l.withStoreLease(e.Revision, now)
	}
	l.storeLeaseRevision, l.hasStoreVote = 0, false
	return l
}

func (l Leader) hasStoreLease(now time.Time) bool {
	return l.storeLeaseRevision != 0 && now.Sub(l.storeLeaseRenewedAt) < l.timing.StoreLeaseTTL
}

func (l Leader) storeLeaseKey() string { return l.key(platformkey.Lease) }
