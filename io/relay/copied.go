package relay

import (
	"time"

	"redwingsill/core/feed"
	"redwingsill/core/record"
)

// copied is what a host knows of one prefix. It is immutable.
type copied struct {
	feed    feed.Feed
	isWhole bool
	// readAt is when the store itself last answered this host, or the zero time while other hosts do.
	readAt time.Time
	// lasts is how long after that the copy counts as fresh.
	lasts time.Duration
	// failedAt is when the store last failed this host.
	failedAt time.Time
	// changed ends when the next copy is there.
	changed chan struct{}
}

// isFresh reports whether others may be told.
func (c copied) isFresh(now time.Time) bool {
	return c.isWhole && !c.readAt.IsZero() && now.Sub(c.readAt) <= c.lasts
}

// withAll returns the copy with all entries as of a revision.
func (c copied) withAll(records []record.Record, at int64) copied {
	c.feed, c.isWhole = feed.New(records, at), true
	return c
}

// with returns the copy with changes up to a revision.
func (c copied) with(changes []record.Record, at int64) copied {
	c.feed = c.feed.With(changes, at)
	return c
}

// withStore returns the copy as one that the store itself confirmed and that counts as fresh for a time.
func (c copied) withStore(now time.Time, lasts time.Duration) copied {
	c.readAt, c.lasts, c.failedAt = now, lasts, time.Time{}
	return c
}

// withPeer returns the copy as one that another host told.
func (c copied) withPeer() copied {
	c.readAt, c.failedAt = time.Time{}, time.Time{}
	return c
}

// withFailure returns the copy after the store failed this host.
func (c copied) withFailure(now time.Time) copied {
	c.readAt, c.failedAt = time.Time{}, now
	return c
}
