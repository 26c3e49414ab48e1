package relay

import (
	"time"

	"redwingsill/core/record"
	"redwingsill/core/watchcache"
)

// replica is a host's copy of the entries under one prefix. It is immutable.
type replica struct {
	cache watchcache.Cache
	// hasSynced is set once all entries have been read.
	hasSynced bool
	// readAt is when the store last responded to this host itself. It is the zero time while other hosts relay the
	// entries, and after a failure.
	readAt time.Time
	// freshFor is how long after readAt the replica counts as fresh.
	freshFor time.Duration
	// confirmedAt is when the store last confirmed, directly or through another host, that the replica was up to date, and
	// previouslyConfirmedAt is the confirmedAt of the replica before this one. The newest changes were written after
	// previouslyConfirmedAt.
	confirmedAt, previouslyConfirmedAt time.Time
	// failedAt is when a call to the store last failed, and failures how many failed in a row.
	failedAt time.Time
	failures int
	// changed is closed when the next replica replaces this one.
	changed chan struct{}
}

// isFresh reports whether the entries are recent enough to be relayed.
func (r replica) isFresh(now time.Time) bool {
	return r.hasSynced && !r.readAt.IsZero() && now.Sub(r.readAt) <= r.freshFor
}

// hasFailed reports whether this host's last call to the store failed so recently that no fresh replica can be expected
// soon.
func (r replica) hasFailed(now time.Time) bool {
	return !r.failedAt.IsZero() && now.Sub(r.failedAt) < 2*relayingRetryInterval
}

// withAll returns the replica with all entries as of a revision.
func (r replica) withAll(records []record.Record, revision int64) replica {
	r.cache, r.hasSynced = watchcache.New(records, revision), true
	return r
}

// with returns the replica with changes up to a revision.
func (r replica) with(changes []record.Record, revision int64) replica {
	r.cache = r.cache.With(changes, revision)
	return r
}

// withStoreConfirmation returns the replica as confirmed by the store itself at now, and fresh for freshFor.
func (r replica) withStoreConfirmation(now time.Time, freshFor time.Duration) replica {
	r.readAt, r.freshFor, r.failedAt, r.failures = now, freshFor, time.Time{}, 0
	return r.withConfirmation(now)
}

// withPeerConfirmation returns the replica as relayed by another host, to which the store confirmed it at the given
// time.
func (r replica) withPeerConfirmation(confirmed time.Time) replica {
	r.readAt = time.Time{}
	return r.withConfirmation(confirmed)
}

// withConfirmation returns the replica as confirmed by the store at the given time.
func (r replica) withConfirmation(at time.Time) replica {
	r.previouslyConfirmedAt = r.confirmedAt
	if at.After(r.confirmedAt) {
		r.confirmedAt = at
	}
	return r
}

// withFailure returns the replica after a call of this host to the store has failed.
func (r replica) withFailure(now time.Time) replica {
	r.readAt, r.failedAt = time.Time{}, now
	r.failures++
	return r
}
