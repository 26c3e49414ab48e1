// Package follow keeps a copy of the entries under a prefix of a key-value store up to date.
package follow

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"redwingsill/core/kind"
	"redwingsill/core/record"
)

// Follow follows one prefix.
type Follow struct {
	prefix string
	store  Store
	sink   Sink
	log    *slog.Logger
	// revisions gives the newest revision of each entry that the sink was told.
	revisions map[string]int64
	isBroken  bool
	failures  int
}

// New returns a follower that tells a sink.
func New(prefix string, s Store, sink Sink, log *slog.Logger) *Follow {
	return &Follow{prefix: prefix, store: s, sink: sink, log: log.With("Prefix", prefix), revisions: map[string]int64{}}
}

// Run follows until the context ends.
func (f *Follow) Run(ctx context.Context) {
	for ctx.Err() == nil {
		at, err := f.list(ctx)
		for err == nil {
			at, err = f.watch(ctx, at)
		}
		if ctx.Err() != nil {
			return
		}
		f.wait(ctx, err)
	}
}

// list reads all entries. What was there before and is not any more is removed.
func (f *Follow) list(ctx context.Context) (int64, error) {
	records, at, err := f.store.List(ctx, f.prefix)
	if err != nil {
		return 0, err
	}
	listed := make(map[string]bool, len(records))
	changes := make([]record.Record, 0, len(records))
	for _, r := range records {
		listed[r.Key] = true
		changes = append(changes, r)
	}
	for key, revision := range f.revisions {
		if !listed[key] && revision <= at {
			changes = append(changes, record.Record{Key: key, Revision: at, IsRemoved: true})
		}
	}
	f.apply(changes, true)
	return at, nil
}

func (f *Follow) watch(ctx context.Context, after int64) (int64, error) {
	changes, at, err := f.store.Watch(ctx, f.prefix, after)
	if err != nil {
		var failed interface{ IsKind(kind.Kind) bool }
		if errors.As(err, &failed) && failed.IsKind(kind.Unavailable) && ctx.Err() == nil {
			// The same place is tried again: the history may still be there, and a list costs more.
			f.wait(ctx, err)
			return after, nil
		}
		return 0, err
	}
	f.apply(changes, false)
	return max(at, after), nil
}

func (f *Follow) apply(changes []record.Record, isWhole bool) {
	newer := changes[:0:0]
	for _, r := range changes {
		if r.Revision <= f.revisions[r.Key] {
			continue
		}
		newer = append(newer, r)
		if r.IsRemoved {
			delete(f.revisions, r.Key)
		} else {
			f.revisions[r.Key] = r.Revision
		}
	}
	if f.isBroken {
		f.isBroken = false
		f.log.Info("store regained", "Failures", f.failures)
	}
	f.failures = 0
	f.sink.Apply(newer, isWhole)
}

// wait notes a failure and waits longer the more there were, so that many hosts do not come back at the same time.
func (f *Follow) wait(ctx context.Context, err error) {
	if !f.isBroken {
		f.isBroken = true
		f.log.Warn("store lost", "Error", err)
		f.sink.Lost()
	}
	f.failures++
	pause := min(firstPause<<min(f.failures-1, 6), mostPause)
	timer := time.NewTimer(pause/2 + rand.N(pause))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
