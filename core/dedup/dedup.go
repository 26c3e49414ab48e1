// Package dedup remembers which request ids have run, so that none runs twice.
package dedup

import (
	"time"

	"github.com/benbjohnson/immutable"

	"redwingsill/core/idrecord"
	"redwingsill/core/outcome"
	"redwingsill/core/unit"
)

// maxKeptBody bounds the body of an answer that is kept for repeats, in bytes.
const maxKeptBody = 16 << 10

// Table is the request ids that one steward has run, oldest first. It is immutable. It never forgets an id before
// its retention has passed: when it is full it takes no new ids.
type Table struct {
	entries   *immutable.Map[string, idrecord.IDRecord]
	order     *immutable.List[string]
	limit     int
	retention time.Duration
	skew      time.Duration
	cutoff    time.Time
	cutoffs   *immutable.Map[unit.Unit, time.Time]
}

// New returns an empty memory of at most limit ids, each kept for a time. Ids issued before the cutoff may have run
// elsewhere. The clock in an id may run ahead of the time at which it is run by the skew, and no further.
func New(limit int, retention, skew time.Duration, cutoff time.Time) Table {
	return Table{
		entries:   immutable.NewMap[string, idrecord.IDRecord](nil),
		order:     immutable.NewList[string](),
		limit:     limit,
		retention: retention,
		skew:      skew,
		cutoff:    cutoff,
		cutoffs:   immutable.NewMap[unit.Unit, time.Time](hasher{}),
	}
}

// Len returns the number of ids kept.
func (m Table) Len() int { return m.entries.Len() }

// IsFull reports whether no new id can be taken.
func (m Table) IsFull() bool { return m.entries.Len() >= m.limit }

// Cutoff returns the time before which an issued id of any unit may have run elsewhere.
func (m Table) Cutoff() time.Time {
	latest := m.cutoff
	for itr := m.cutoffs.Iterator(); !itr.Done(); {
		if _, at, _ := itr.Next(); at.After(latest) {
			latest = at
		}
	}
	return latest
}

// Find returns the entry of an id.
func (m Table) Find(id string) (idrecord.IDRecord, bool) { return m.entries.Get(id) }

// MayHaveRun reports whether an id that is not in the memory may have run all the same: elsewhere, or so long ago that
// it was forgotten.
func (m Table) MayHaveRun(u unit.Unit, issuedAt time.Time) bool {
	if issuedAt.Before(m.cutoff) {
		return true
	}
	if at, ok := m.cutoffs.Get(u); ok && issuedAt.Before(at) {
		return true
	}
	at, ok := m.cutoffs.Get(unit.Unit{Service: u.Service, Slot: u.Slot})
	return ok && issuedAt.Before(at)
}

// With returns the memory with an id begun at a time. Its outcome is Unknown until [Table.WithOutcome].
func (m Table) With(id string, u unit.Unit, at time.Time) Table {
	m.entries = m.entries.Set(id, idrecord.IDRecord{ID: id, At: at, Unit: u})
	m.order = m.order.Append(id)
	return m
}

// WithOutcome returns the memory with the outcome of an id. An id that did not run is taken out.
func (m Table) WithOutcome(id string, o outcome.Outcome) Table {
	entry, ok := m.entries.Get(id)
	if !ok {
		return m
	}
	switch o := o.(type) {
	case outcome.NotRun:
		m.entries = m.entries.Delete(id)
	case outcome.Answered:
		if len(o.Body) <= maxKeptBody {
			entry.Answer = &o
		}
		m.entries = m.entries.Set(id, entry)
	case outcome.Unknown:
	}
	return m
}

// WithEntries returns the memory with the entries that another steward handed over. Its cutoff does not fall.
func (m Table) WithEntries(entries []idrecord.IDRecord, cutoff time.Time) Table {
	for _, e := range entries {
		if _, ok := m.entries.Get(e.ID); !ok {
			m.order = m.order.Append(e.ID)
		}
		m.entries = m.entries.Set(e.ID, e)
	}
	if cutoff.After(m.cutoff) {
		m.cutoff = cutoff
	}
	return m
}

// WithUnitCutoff returns the memory in which ids of u issued before a time may have run elsewhere.
func (m Table) WithUnitCutoff(u unit.Unit, at time.Time) Table {
	m.cutoffs = m.cutoffs.Set(u, at)
	return m
}

// WithoutOld returns the memory without the ids whose retention has passed at now. Ids as old as these may have run,
// so the cutoff rises by as much.
func (m Table) WithoutOld(now time.Time) Table {
	oldest := now.Add(-m.retention)
	for m.order.Len() > 0 {
		id := m.order.Get(0)
		entry, ok := m.entries.Get(id)
		if ok && entry.At.After(oldest.Add(-m.skew)) {
			break
		}
		m.order = m.order.Slice(1, m.order.Len())
		m.entries = m.entries.Delete(id)
	}
	if m.cutoff.Before(oldest) {
		m.cutoff = oldest
	}
	return m
}

// Entries returns the entries of the units, or of all where none is given.
func (m Table) Entries(units []unit.Unit) []idrecord.IDRecord {
	wanted := map[unit.Unit]bool{}
	for _, u := range units {
		wanted[u] = true
	}
	isWanted := func(u unit.Unit) bool {
		return len(units) == 0 || wanted[u] || wanted[unit.Unit{Service: u.Service, Slot: u.Slot}]
	}
	var found []idrecord.IDRecord
	for itr := m.order.Iterator(); !itr.Done(); {
		_, id := itr.Next()
		if e, ok := m.entries.Get(id); ok && isWanted(e.Unit) {
			found = append(found, e)
		}
	}
	return found
}
