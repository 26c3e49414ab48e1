// Package watchcache caches the entries under one prefix of a key-value store together with recent changes, so that
// watchers can resume from a revision.
package watchcache

import (
	"cmp"
	"maps"
	"slices"

	"redwingsill/core/record"
)

// maxRemovals is the maximum number of removals that are kept. They allow a watcher that was disconnected for some
// seconds to continue without reading all entries again.
const maxRemovals = 512

// Cache holds the entries of a prefix as of a revision. It is immutable.
type Cache struct {
	// records holds the last change of each key, including removals. It is copied before a change.
	records map[string]record.Record
	// completeFrom is the revision after which the last change of every key is known; revision is the newest one seen.
	completeFrom, revision int64
	// removals is the number of records that are removals.
	removals int
}

// New returns a cache of all entries as of a revision.
func New(records []record.Record, revision int64) Cache {
	all := make(map[string]record.Record, len(records))
	for _, r := range records {
		all[r.Key] = r
	}
	return Cache{records: all, completeFrom: revision, revision: revision}
}

// With returns the cache after changes up to a revision. Changes no newer than the cached one of their key are ignored.
func (c Cache) With(changes []record.Record, revision int64) Cache {
	c.revision = max(c.revision, revision)
	if len(changes) == 0 {
		return c
	}
	next := make(map[string]record.Record, len(c.records)+len(changes))
	maps.Copy(next, c.records)
	for _, change := range changes {
		old, ok := next[change.Key]
		if ok && change.Revision <= old.Revision {
			continue
		}
		if change.IsRemoved {
			change.Value = nil
			c.removals++
		}
		if old.IsRemoved {
			c.removals--
		}
		next[change.Key] = change
		c.revision = max(c.revision, change.Revision)
	}
	c.records = next
	if c.removals > maxRemovals {
		return c.pruned()
	}
	return c
}

// pruned returns the cache without the older half of the removals. It modifies the map of records, which must not be
// shared.
func (c Cache) pruned() Cache {
	var removed []record.Record
	for _, r := range c.records {
		if r.IsRemoved {
			removed = append(removed, r)
		}
	}
	slices.SortFunc(removed, byRevision)
	for _, r := range removed[:len(removed)/2] {
		delete(c.records, r.Key)
		c.completeFrom = r.Revision
	}
	c.removals = len(removed) - len(removed)/2
	return c
}

// Revision returns the newest revision seen.
func (c Cache) Revision() int64 { return c.revision }

// All returns the entries sorted by revision.
func (c Cache) All() []record.Record {
	return c.filter(func(r record.Record) bool { return !r.IsRemoved })
}

// ChangesAfter returns the last change of each key that changed after a revision, sorted by revision, and whether the
// cache reaches back that far.
func (c Cache) ChangesAfter(revision int64) ([]record.Record, bool) {
	if revision < c.completeFrom {
		return nil, false
	}
	return c.filter(func(r record.Record) bool { return r.Revision > revision }), true
}

func (c Cache) filter(matches func(record.Record) bool) []record.Record {
	var found []record.Record
	for _, r := range c.records {
		if matches(r) {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, byRevision)
	return found
}

func byRevision(a, b record.Record) int {
	return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key, b.Key))
}
