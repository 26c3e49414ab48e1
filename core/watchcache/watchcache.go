// Package watchcache holds a copy of the entries under one prefix of a key-value store, from which others can catch up.
package watchcache

import (
	"cmp"
	"maps"
	"slices"

	"redwingsill/core/record"
)

// mostRemovals is how many removals are remembered, so that who was away for some seconds need not read all entries.
const mostRemovals = 512

// Cache is the entries as of a revision. It is immutable.
type Cache struct {
	// records has the last change of each key, removals too. It is copied before it changes.
	records map[string]record.Record
	// begin is the revision from which on no change is missing, and at the newest one that the feed has heard of.
	begin, at int64
	removals  int
}

// New returns the feed of all entries as of a revision.
func New(records []record.Record, at int64) Cache {
	all := make(map[string]record.Record, len(records))
	for _, r := range records {
		all[r.Key] = r
	}
	return Cache{records: all, begin: at, at: at}
}

// With returns the feed with changes up to a revision. Changes that are older than what is known of their key are left out.
func (f Cache) With(changes []record.Record, at int64) Cache {
	f.at = max(f.at, at)
	if len(changes) == 0 {
		return f
	}
	next := make(map[string]record.Record, len(f.records)+len(changes))
	maps.Copy(next, f.records)
	for _, c := range changes {
		old, ok := next[c.Key]
		if ok && c.Revision <= old.Revision {
			continue
		}
		if c.IsRemoved {
			c.Value = nil
			f.removals++
		}
		if old.IsRemoved {
			f.removals--
		}
		next[c.Key] = c
		f.at = max(f.at, c.Revision)
	}
	f.records = next
	if f.removals > mostRemovals {
		return f.pruned()
	}
	return f
}

// pruned returns the feed without the older half of the removals.
func (f Cache) pruned() Cache {
	var removed []record.Record
	for _, r := range f.records {
		if r.IsRemoved {
			removed = append(removed, r)
		}
	}
	slices.SortFunc(removed, byRevision)
	for _, r := range removed[:len(removed)/2] {
		delete(f.records, r.Key)
		f.begin = r.Revision
	}
	f.removals = len(removed) - len(removed)/2
	return f
}

// At returns the newest revision that the feed has heard of.
func (f Cache) At() int64 { return f.at }

// All returns the entries in the order of their revisions.
func (f Cache) All() []record.Record {
	return f.where(func(r record.Record) bool { return !r.IsRemoved })
}

// After returns the last change of each key that changed after a revision, in their order, and whether the feed reaches back
// so far.
func (f Cache) After(revision int64) ([]record.Record, bool) {
	if revision < f.begin {
		return nil, false
	}
	return f.where(func(r record.Record) bool { return r.Revision > revision }), true
}

func (f Cache) where(is func(record.Record) bool) []record.Record {
	var found []record.Record
	for _, r := range f.records {
		if is(r) {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, byRevision)
	return found
}

func byRevision(a, b record.Record) int {
	return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key, b.Key))
}
