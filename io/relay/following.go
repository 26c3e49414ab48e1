package relay

import (
	"context"
	"time"

	"redwingsill/core/kind"
	"redwingsill/core/record"
	"redwingsill/io/task"
)

// List implements watch.Store.
func (r *Relay) List(ctx context.Context, prefix string, mayBeStale bool) ([]record.Record, int64, error) {
	for {
		to, ok := r.reader(prefix)
		if !ok {
			break
		}
		told, err := r.peers.Entries(ctx, to.address, prefix)
		if err == nil {
			r.answers(to.name)
			r.keep(prefix, func(c copied) copied { return c.withAll(told.Records, told.Revision).withPeer(r.now().Add(-told.Age)) })
			return told.Records, told.Revision, nil
		}
		if ctx.Err() != nil {
			return nil, 0, err
		}
		r.avoid(to.name, err)
	}
	if r.isFailing(prefix) {
		return nil, 0, errFailing()
	}
	records, at, err := r.store.List(ctx, prefix, mayBeStale)
	r.keep(prefix, func(c copied) copied {
		if err != nil {
			return c.withFailure(r.now())
		}
		return c.withAll(records, at).withStore(r.now(), listLasts+r.pauses[prefix])
	})
	return records, at, err
}

// Watch implements watch.Store.
func (r *Relay) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]record.Record, int64, error) {
	for {
		wasAsked := r.isAsked()
		to, ok := r.reader(prefix)
		if !ok {
			break
		}
		told, err := r.listen(ctx, to.address, prefix, after)
		switch {
		case err == nil:
			r.answers(to.name)
			r.keep(prefix, func(c copied) copied { return c.with(told.Records, told.Revision).withPeer(r.now().Add(-told.Age)) })
			r.heard(prefix)
			return told.Records, told.Revision, nil
		case ctx.Err() != nil || kind.Is(err, kind.NotFound):
			return nil, 0, err
		case wasAsked || !r.isAsked(): // else it was this host that ended the question
			r.avoid(to.name, err)
		}
	}
	if r.isFailing(prefix) {
		return nil, 0, errFailing()
	}
	if last := r.copies[prefix].Read().readAt; last.IsZero() {
		wait = confirmWait
	} else if rest := r.pauses[prefix] - r.now().Sub(last); rest > 0 {
		task.Sleep(ctx, rest)
	}
	changes, at, err := r.store.Watch(ctx, prefix, after, wait)
	if kind.Is(err, kind.NotFound) { // the store has answered, and a list tells the rest
		return nil, 0, err
	}
	r.keep(prefix, func(c copied) copied {
		if err != nil {
			return c.withFailure(r.now())
		}
		return c.with(changes, at).withStore(r.now(), wait+r.pauses[prefix]+freshMargin)
	})
	if err == nil {
		r.heard(prefix)
	}
	return changes, at, err
}
