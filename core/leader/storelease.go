package leader

import (
	"bytes"
	"time"

	"redwingsill/core/event"
	"redwingsill/core/platformkey"
)

// withStoreLease records a successful renewal. The store's vote continues only if the renewal followed directly on the
// previous revision, because another host may have held a lease that expired in between.
func (l Leader) withStoreLease(revision int64, now time.Time) Leader {
	l.storeLeaseRevision, l.storeLeaseRenewedAt = revision, now
	l.hasStoreVote = l.hasStoreVote && !l.isCreatingStoreLease
	if l.hasStoreVote {
		l.storeVoteAt = l.storeLeaseTriedAt
	}
	return l
}

// withStoreLeaseRead resolves a renewal whose answer was lost. A value written by this incarnation of the host shows
// that the renewal took effect.
func (l Leader) withStoreLeaseRead(e event.KeyRead, now time.Time) Leader {
	l.isStoreLeaseUnknown = false
	if e.Revision != 0 && bytes.Equal(e.Value, l.storeLease) {
		return l.withStoreLease(e.Revision, now)
	}
	l.storeLeaseRevision, l.hasStoreVote = 0, false
	return l
}

// hasStoreLease reports whether the store lease has not expired.
func (l Leader) hasStoreLease(now time.Time) bool {
	return l.storeLeaseRevision != 0 && now.Sub(l.storeLeaseRenewedAt) < l.timing.StoreLeaseTTL
}

func (l Leader) storeLeaseKey() string { return l.key(platformkey.StoreLease) }
