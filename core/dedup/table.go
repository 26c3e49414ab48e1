// Package dedup records the IDs of requests that have been started, so that no request runs twice.
package dedup

import (
	"time"

	"github.com/benbjohnson/immutable"

	"redwingsill/core/dedupentry"
	"redwingsill/core/outcome"
	"redwingsill/core/unit"
)

// maxStoredBodyBytes is the size of the largest response body that is stored for repeats. A repeat gets an unknown
// outcome if the body was larger.
const maxStoredBodyBytes = 16 << 10

// Table holds the entries of the request IDs that one lease holder has started or received in a handover. It is
// immutable. It never evicts an ID within its retention: when [Table.IsFull] reports true, the caller must start no
// requests with new IDs.
type Table struct {
	entries *immutable.Map[string, dedupentry.DedupEntry]
	// insertionOrder lists the IDs in the order in which they were added. It also has IDs whose entry was deleted, and
	// an ID that was added again after that is listed twice.
	insertionOrder *immutable.List[string]
	capacity       int
	retention      time.Duration
	skew           time.Duration
	// cutoff is the issue time before which IDs without an entry may have run; unitCutoffs are additional cutoffs of
	// single units.
	cutoff      time.Time
	unitCutoffs *immutable.Map[unit.Unit, time.Time]
}

// New returns an empty table with the given capacity in IDs, each retained for the given time. IDs issued before the
// cutoff may have run although they have no entry. The issue time of an ID may be ahead of the time at which it runs by
// at most skew.
func New(capacity int, retention, skew time.Duration, cutoff time.Time) Table {
	return Table{
		entries:        immutable.NewMap[string, dedupentry.DedupEntry](nil),
		insertionOrder: immutable.NewList[string](),
		capacity:       capacity,
		retention:      retention,
		skew:           skew,
		cutoff:         cutoff,
		unitCutoffs:    immutable.NewMap[unit.Unit, time.Time](unitHasher{}),
	}
}

// Len returns the number of IDs in the table.
func (t Table) Len() int { return t.entries.Len() }

// IsFull reports whether the table has reached its capacity.
func (t Table) IsFull() bool { return t.entries.Len() >= t.capacity }

// Cutoff returns the latest of the table's cutoff and the cutoffs of single units.
func (t Table) Cutoff() time.Time {
	latest := t.cutoff
	for itr := t.unitCutoffs.Iterator(); !itr.Done(); {
		if _, at, _ := itr.Next(); at.After(latest) {
			latest = at
		}
	}
	return latest
}

// Find returns the entry of an ID, and whether there is one.
func (t Table) Find(id string) (dedupentry.DedupEntry, bool) { return t.entries.Get(id) }

// MayHaveRun reports whether an ID that is not in the table may nevertheless have run: on another host, or so long ago
// that its entry has expired.
func (t Table) MayHaveRun(u unit.Unit, issuedAt time.Time) bool {
	if issuedAt.Before(t.cutoff) {
		return true
	}
	if at, ok := t.unitCutoffs.Get(u); ok && issuedAt.Before(at) {
		return true
	}
	at, ok := t.unitCutoffs.Get(unit.Unit{Service: u.Service, HashSlot: u.HashSlot})
	return ok && issuedAt.Before(at)
}

// WithStarted returns the table with an ID whose request started at the given time. Its outcome is Unknown until
// [Table.WithOutcome].
func (t Table) WithStarted(id string, u unit.Unit, at time.Time) Table {
	t.entries = t.entries.Set(id, dedupentry.DedupEntry{ID: id, StartedAt: at, Unit: u})
	t.insertionOrder = t.insertionOrder.Append(id)
	return t
}

// WithOutcome returns the table with the outcome of an ID. An ID that did not run is removed.
func (t Table) WithOutcome(id string, o outcome.Outcome) Table {
	entry, ok := t.entries.Get(id)
	if !ok {
		return t
	}
	switch o := o.(type) {
	case outcome.NotRun:
		t.entries = t.entries.Delete(id)
	case outcome.Answered:
		if len(o.Body) <= maxStoredBodyBytes {
			entry.Answer = &o
		}
		t.entries = t.entries.Set(id, entry)
	case outcome.Unknown:
	}
	return t
}

// WithEntries returns the table with the entries and the cutoff that another lease holder has handed over. The cutoff
// of the table never decreases.
func (t Table) WithEntries(entries []dedupentry.DedupEntry, cutoff time.Time) Table {
	for _, e := range entries {
		if _, ok := t.entries.Get(e.ID); !ok {
			t.insertionOrder = t.insertionOrder.Append(e.ID)
		}
		t.entries = t.entries.Set(e.ID, e)
	}
	if cutoff.After(t.cutoff) {
		t.cutoff = cutoff
	}
	return t
}

// WithUnitCutoff returns the table with a cutoff for u: IDs of u issued before it may have run elsewhere.
func (t Table) WithUnitCutoff(u unit.Unit, at time.Time) Table {
	t.unitCutoffs = t.unitCutoffs.Set(u, at)
	return t
}

// WithoutExpired returns the table without the IDs whose retention has passed at now. Expired IDs may have run, so the
// cutoff advances with them.
func (t Table) WithoutExpired(now time.Time) Table {
	oldest := now.Add(-t.retention)
	for t.insertionOrder.Len() > 0 {
		id := t.insertionOrder.Get(0)
		entry, ok := t.entries.Get(id)
		if ok && entry.StartedAt.After(oldest.Add(-t.skew)) {
			break
		}
		t.insertionOrder = t.insertionOrder.Slice(1, t.insertionOrder.Len())
		t.entries = t.entries.Delete(id)
	}
	if t.cutoff.Before(oldest) {
		t.cutoff = oldest
	}
	return t
}

// Entries returns the entries of the given units, or all entries if no unit is given. A hash slot includes its keys.
func (t Table) Entries(units []unit.Unit) []dedupentry.DedupEntry {
	wanted := map[unit.Unit]bool{}
	for _, u := range units {
		wanted[u] = true
	}
	isWanted := func(u unit.Unit) bool {
		return len(units) == 0 || wanted[u] || wanted[unit.Unit{Service: u.Service, HashSlot: u.HashSlot}]
	}
	var found []dedupentry.DedupEntry
	for itr := t.insertionOrder.Iterator(); !itr.Done(); {
		_, id := itr.Next()
		if e, ok := t.entries.Get(id); ok && isWanted(e.Unit) {
			found = append(found, e)
		}
	}
	return found
}
