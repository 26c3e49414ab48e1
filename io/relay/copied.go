package relay

import (
	"time"

	"redwingsill/core/record"
	"redwingsill/core/watchcache"
)

// copied is what a host knows of one prefix. It is immutable.
type copied struct {
	feed    watchcache.Cache
	isWhole bool
	// readAt is when the store itself last answered this host, or the zero time while other hosts do.
	readAt time.Time
	// lasts is how long after that the copy counts as fresh.
	lasts time.Duration
	// confirmedAt is when the store itself, perhaps through another host, said that there was nothing newer, and before the
	// same of the copy before: what is new in this one was written since then.
	confirmedAt, before time.Time
	// failedAt is when the store last failed this host, and failures how often in a row.
	failedAt time.Time
	failures int
	// changed ends when the next copy is there.
	changed chan struct{}
}

// isFresh reports whether others may be told.
func (c copied) isFresh(now time.Time) bool {
	return c.isWhole && !c.readAt.IsZero() && now.Sub(c.readAt) <= c.lasts
}

// hasFailed reports whether the store failed this host just now, so that there is nothing to wait for.
func (c copied) hasFailed(now time.Time) bool {
	return !c.failedAt.IsZero() && now.Sub(c.failedAt) < 2*readerPause
}

// withAll returns the copy with all entries as of a revision.
func (c copied) withAll(records []record.Record, at int64) copied {
	c.feed, c.isWhole = watchcache.New(records, at), true
	return c
}

// with returns the copy with changes up to a revision.
func (c copied) with(changes []record.Record, at int64) copied {
	c.feed = c.feed.With(changes, at)
	return c
}

// withStore returns the copy as one that the store itself confirmed and that counts as fresh for a time.
func (c copied) withStore(now time.Time, lasts time.Duration) copied {
	c.readAt, c.lasts, c.failedAt, c.failures = now, lasts, time.Time{}, 0
	return c.withConfirmation(now)
}

// withPeer returns the copy as one that another host told, which was confirmed at a time.
func (c copied) withPeer(confirmed time.Time) copied {
	c.readAt = time.Time{}
	return c.withConfirmation(confirmed)
}

func (c copied) withConfirmation(at time.Time) copied {
	c.before = c.confirmedAt
	if at.After(c.confirmedAt) {
		c.confirmedAt = at
	}
	return c
}

// withFailure returns the copy after the store failed this host.
func (c copied) withFailure(now time.Time) copied {
	c.readAt, c.failedAt = time.Time{}, now
	c.failures++
	return c
}
