// Package watch keeps a copy of the entries under a prefix of a key-value store up to date.
package watch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"redwingsill/core/kind"
	"redwingsill/core/record"
	"redwingsill/io/task"
)

// Watch follows one prefix.
type Watch struct {
	prefix string
	store  Store
	wait   time.Duration
	sink   Sink
	log    *slog.Logger
	// entries gives what the sink was told of each entry.
	entries   map[string]seen
	hasListed bool
	isBroken  bool
	failures  int
}

// New returns a follower that tells a sink. One watch waits up to a time: it may miss changes unnoticed as the store
// forgets its history, and the next one shows it.
func New(prefix string, s Store, wait time.Duration, sink Sink, log *slog.Logger) *Watch {
	return &Watch{prefix: prefix, store: s, wait: wait, sink: sink, log: log.With("Prefix", prefix), entries: map[string]seen{}}
}

// Run follows until the context ends.
func (f *Watch) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.watchAll(ctx)
		if ctx.Err() != nil {
			return
		}
		f.pause(ctx, err)
	}
}

// watchAll follows until the history is gone. The first list may be some seconds old, which costs less; the watch tells
// what has changed since.
func (f *Watch) watchAll(ctx context.Context) error {
	at, err := f.list(ctx, !f.hasListed)
	for err == nil {
		at, err = f.watch(ctx, at)
	}
	return err
}

// list reads all entries. What was there before and is not any more is removed.
func (f *Watch) list(ctx context.Context, mayBeStale bool) (int64, error) {
	records, at, err := f.store.List(ctx, f.prefix, mayBeStale)
	if err != nil {
		return 0, err
	}
	listed := make(map[string]bool, len(records))
	changes := make([]record.Record, 0, len(records))
	for _, r := range records {
		listed[r.Key] = true
		changes = append(changes, r)
	}
	for key, last := range f.entries {
		if !listed[key] && !last.isRemoved && last.revision <= at {
			changes = append(changes, record.Record{Key: key, Revision: at, IsRemoved: true})
		}
	}
	f.hasListed = true
	f.apply(changes, at, true)
	return at, nil
}

func (f *Watch) watch(ctx context.Context, after int64) (int64, error) {
	changes, at, err := f.store.Watch(ctx, f.prefix, after, f.wait)
	if err != nil {
		if kind.Is(err, kind.Unavailable) && ctx.Err() == nil {
			// The same place is tried again: the history may still be there, and a list costs more.
			f.pause(ctx, err)
			return after, nil
		}
		return 0, err
	}
	f.apply(changes, at, false)
	return max(at, after), nil
}

func (f *Watch) apply(changes []record.Record, at int64, isWhole bool) {
	newer := changes[:0:0]
	for _, r := range changes {
		last := f.entries[r.Key]
		if r.Revision < last.revision || r.Revision == last.revision && r.IsRemoved == last.isRemoved {
			continue
		}
		newer = append(newer, r)
		f.entries[r.Key] = seen{revision: r.Revision, isRemoved: r.IsRemoved}
	}
	if f.isBroken {
		f.isBroken = false
		f.log.Info("store regained", "Failures", f.failures)
	}
	f.failures = 0
	f.sink.Apply(newer, at, isWhole)
}

// pause notes a failure and waits longer the more there were, so that many hosts do not come back at the same time.
func (f *Watch) pause(ctx context.Context, err error) {
	if !f.isBroken {
		f.isBroken = true
		f.log.Warn("store lost", "Error", err)
		f.sink.Lost()
	}
	f.failures++
	length := min(firstPause<<min(f.failures-1, 6), mostPause)
	task.Sleep(ctx, length/2+rand.N(length))
}
