package leader

import (
	"bytes"
	"time"

	"redwingsill/core/event"
	"redwingsill/core/platformkey"
)

// withStoreLease records a successful renewal. A renewal that creates the store lease again ends the store's vote, because
// another host may have held the store lease in between.
func (l Leader) withStoreLease(revision int64, now time.Time) Leader {
	l.storeLeaseRevision, l.storeLeaseRenewedAt = revision, now
	l.hasStoreVote = l.hasStoreVote && !l.isCreatingStoreLease
	if l.hasStoreVote {
		l.storeVoteAt = l.storeLeaseSentAt
	}
	return l
}

// withStoreLeaseRead resolves a renewal whose answer was lost. A value written by this incarnation of the host shows
// that this leader still holds the store lease, whether or not that renewal took effect.
func (l Leader) withStoreLeaseRead(e event.KeyRead, now time.Time) Leader {
	l.isStoreLeaseUnknown = false
	if e.Revision != 0 && bytes.Equal(e.Value, l.storeLease) {
		return l.withStoreLease(e.Revision, now)
	}
	l.storeLeaseRevision, l.hasStoreVote = 0, false
	return l
}

// hasStoreLease reports whether this leader holds the store lease and the lease has not expired.
func (l Leader) hasStoreLease(now time.Time) bool {
	return l.storeLeaseRevision != 0 && now.Sub(l.storeLeaseRenewedAt) < l.timing.StoreLeaseTTL
}

func (l Leader) storeLeaseKey() string { return l.key(platformkey.StoreLease) }
