// Package watch keeps a copy of the entries under a prefix of a key-value store up to date.
package watch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"redwingsill/core/era"
	"redwingsill/core/kind"
	"redwingsill/core/record"
	"redwingsill/io/task"
)

// Watch keeps a sink up to date with the entries under one prefix.
type Watch struct {
	prefix string
	store  Store
	wait   time.Duration
	sink   Sink
	log    *slog.Logger
	// entries has, by key, the last state of each entry that the sink received, also of removed ones.
	entries map[string]entryState
	// hasListed is set once a list has succeeded.
	hasListed bool
	// era is the era of the last list. missingUntil gives, by key, when an entry of an earlier era that is missing in it is removed.
	era          era.Era
	missingUntil map[string]time.Time
	// isFailing is set from a failed call to the store until the next successful one, and failures is the number of
	// failures in a row.
	isFailing bool
	failures  int
}

// New returns a Watch of a prefix for a sink. Each call of [Store.Watch] waits for at most wait. A call may silently
// miss changes when the store compacts its history; the next call detects that, so wait bounds how long they stay
// unnoticed.
func New(prefix string, s Store, wait time.Duration, sink Sink, log *slog.Logger) *Watch {
	return &Watch{prefix: prefix, store: s, wait: wait, sink: sink, log: log.With("Prefix", prefix), entries: map[string]entryState{},
		missingUntil: map[string]time.Time{}}
}

// Run watches until the context ends.
func (w *Watch) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := w.listAndWatch(ctx)
		if ctx.Err() != nil {
			return
		}
		w.handleFailure(ctx, err)
	}
}

// listAndWatch lists all entries and then watches until a call fails in a way that needs a new list, such as when the
// history no longer reaches back to the revision. The first list may be some seconds old, since such a list costs the
// store less; the watch then returns what has changed since.
func (w *Watch) listAndWatch(ctx context.Context) error {
	revision, err := w.list(ctx, !w.hasListed)
	for err == nil {
		revision, err = w.watch(ctx, revision)
	}
	return err
}

// list lists all entries and applies them, with a removal for each known entry that is not listed. After the store has come back
// from an older copy, such an entry is removed only after a grace. It returns the revision to watch from.
func (w *Watch) list(ctx context.Context, mayBeStale bool) (int64, error) {
	records, revision, err := w.store.List(ctx, w.prefix, mayBeStale)
	if err != nil {
		return 0, err
	}
	listed := make(map[string]bool, len(records))
	changes := make([]record.Record, 0, len(records))
	for _, r := range records {
		listed[r.Key] = true
		if !w.entries[r.Key].isRestored(r) {
			changes = append(changes, r)
		}
	}
	if newest := era.Of(revision); newest > w.era {
		w.era = newest
		clear(w.missingUntil)
	}
	for key, last := range w.entries {
		if !listed[key] && !last.isRemoved && last.revision <= revision && !w.isAwaited(key, last) {
			changes = append(changes, record.Record{Key: key, Revision: revision, IsRemoved: true})
		}
	}
	w.hasListed = true
	w.apply(changes, revision, true)
	return revision, nil
}

// watch makes one call that waits for changes, applies them and returns the revision to watch from next.
func (w *Watch) watch(ctx context.Context, after int64) (int64, error) {
	changes, revision, err := w.store.Watch(ctx, w.prefix, after, w.wait)
	if err != nil {
		if kind.Is(err, kind.Unavailable) && ctx.Err() == nil {
			// Retry from the same revision: the history may still reach back to it, and a list costs more.
			w.handleFailure(ctx, err)
			return after, nil
		}
		return 0, err
	}
	w.apply(append(changes, w.overdueRemovals(max(revision, after))...), revision, false)
	return max(revision, after), nil
}

// apply passes those changes to the sink that are newer than the known entries, and records that the call to the store
// succeeded. hasSynced is set if the changes come from a list of all entries.
func (w *Watch) apply(changes []record.Record, revision int64, hasSynced bool) {
	newer := changes[:0:0]
	for _, r := range changes {
		last := w.entries[r.Key]
		if r.Revision < last.revision || r.Revision == last.revision && r.IsRemoved == last.isRemoved {
			continue
		}
		newer = append(newer, r)
		written := r.Revision
		if r.IsRemoved {
			written = last.written
		}
		w.entries[r.Key] = entryState{revision: r.Revision, isRemoved: r.IsRemoved, written: written}
		delete(w.missingUntil, r.Key)
	}
	if w.isFailing {
		w.restartGrace()
		w.isFailing = false
		w.log.Info("store regained", "Failures", w.failures) // regained: a call succeeded again
	}
	w.failures = 0
	w.sink.Apply(newer, revision, hasSynced)
}

// handleFailure waits before the next attempt, and reports the failure to the sink unless the call before it failed
// too. The delay grows with each failure in a row, and is partly random so that many hosts do not retry at the same
// time.
func (w *Watch) handleFailure(ctx context.Context, err error) {
	if !w.isFailing {
		w.isFailing = true
		w.log.Warn("store lost", "Error", err) // lost: a call failed
		w.sink.Lost()
	}
	w.failures++
	delay := min(minRetryDelay<<min(w.failures-1, maxDoublings), maxRetryDelay)
	task.Sleep(ctx, delay/2+rand.N(delay))
}
