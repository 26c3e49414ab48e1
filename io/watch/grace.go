package watch

import (
	"time"

	"redwingsill/core/era"
	"redwingsill/core/record"
)

// isAwaited reports whether a known entry that was not listed may be written again, since it is of an earlier era than the list.
func (w *Watch) isAwaited(key string, last entryState) bool {
	if era.Of(last.revision) >= w.era {
		return false
	}
	now := time.Now()
	until, ok := w.missingUntil[key]
	if !ok {
		until = now.Add(eraGrace)
		w.missingUntil[key] = until
	}
	return now.Before(until)
}

// overdueRemovals returns the removals, at a revision, of the missing entries that were not written again in time.
func (w *Watch) overdueRemovals(revision int64) []record.Record {
	if w.isFailing || len(w.missingUntil) == 0 {
		return nil
	}
	var overdue []record.Record
	for key, until := range w.missingUntil {
		if !time.Now().Before(until) {
			overdue = append(overdue, record.Record{Key: key, Revision: revision, IsRemoved: true})
		}
	}
	return overdue
}

// restartGrace starts the grace of missing entries anew after calls to the store have failed: what was written meanwhile may not have
// been seen.
func (w *Watch) restartGrace() {
	for key := range w.missingUntil {
		w.missingUntil[key] = time.Now().Add(eraGrace)
	}
}
