package relay

import (
	"context"
	"errors"
	"time"

	"redwingsill/core/era"
	"redwingsill/core/kind"
	"redwingsill/core/record"
	"redwingsill/io/task"
)

// List implements [redwingsill/io/watch.Store].
func (r *Relay) List(ctx context.Context, prefix string, mayBeStale bool) ([]record.Record, int64, error) {
	for {
		host, ok := r.selectRelayingHost(prefix)
		if !ok {
			break
		}
		relayed, err := r.peers.Entries(ctx, host.address, prefix)
		if err == nil {
			err = r.checkEra(relayed.Revision)
		}
		if err == nil {
			r.recordSuccess(host.name)
			r.updateReplica(prefix, func(current replica) replica {
				return current.withAll(relayed.Records, relayed.Revision).withPeerConfirmation(r.now().Add(-relayed.Age))
			})
			r.recordStoreContact(prefix)
			return relayed.Records, relayed.Revision, nil
		}
		if ctx.Err() != nil {
			return nil, 0, err
		}
		if kind.Is(err, kind.Invalid) {
			break // the host doesn't watch this prefix, so it is no failure that concerns the others
		}
		r.recordFailure(host.name, err)
	}
	if r.isStoreFailing(prefix) {
		return nil, 0, newStoreFailingError()
	}
	records, revision, err := r.store.List(ctx, prefix, mayBeStale)
	r.updateReplica(prefix, func(current replica) replica {
		if err != nil {
			return current.withFailure(r.now())
		}
		return current.withAll(records, revision).withStoreConfirmation(r.now(), listFreshFor+r.batchDelays[prefix])
	})
	if err == nil {
		r.recordStoreContact(prefix)
	}
	return records, revision, err
}

// Watch implements [redwingsill/io/watch.Store].
func (r *Relay) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]record.Record, int64, error) {
	if era.Of(after) < r.store.Era() {
		return nil, 0, newError("watch the store", kind.NotFound, errors.New("the store has come back from an older copy"))
	}
	for {
		wasRelaying := r.isRelaying()
		host, ok := r.selectRelayingHost(prefix)
		if !ok {
			break
		}
		relayed, err := r.awaitChanges(ctx, host.address, prefix, after)
		if kind.Is(err, kind.Invalid) {
			break // as in List
		}
		if err == nil {
			err = r.checkEra(relayed.Revision)
		}
		switch {
		case err == nil:
			r.recordSuccess(host.name)
			r.updateReplica(prefix, func(current replica) replica {
				return current.with(relayed.Records, relayed.Revision).withPeerConfirmation(r.now().Add(-relayed.Age))
			})
			r.recordStoreContact(prefix)
			return relayed.Records, relayed.Revision, nil
		case ctx.Err() != nil || kind.Is(err, kind.NotFound):
			return nil, 0, err
		case wasRelaying || !r.isRelaying(): // else this host cancelled the request because it became a relaying host
			r.recordFailure(host.name, err)
		}
	}
	if r.isStoreFailing(prefix) {
		return nil, 0, newStoreFailingError()
	}
	if readAt := r.replicas[prefix].Read().readAt; readAt.IsZero() {
		wait = confirmationWait
	} else if remaining := r.batchDelays[prefix] - r.now().Sub(readAt); remaining > 0 {
		task.Sleep(ctx, remaining)
	}
	changes, revision, err := r.store.Watch(ctx, prefix, after, wait)
	if kind.Is(err, kind.NotFound) { // no failure: the store responds, and the caller lists again
		return nil, 0, err
	}
	r.updateReplica(prefix, func(current replica) replica {
		if err != nil {
			return current.withFailure(r.now())
		}
		return current.with(changes, revision).withStoreConfirmation(r.now(), wait+r.batchDelays[prefix]+freshMargin)
	})
	if err == nil {
		r.recordStoreContact(prefix)
	}
	return changes, revision, err
}

// checkEra returns an error if a relaying host's entries, as of the given revision, are of an older era than the newest known one.
func (r *Relay) checkEra(revision int64) error {
	r.store.ObserveEra(era.Of(revision))
	if era.Of(revision) < r.store.Era() {
		return newError("read from a relaying host", kind.Unavailable, errors.New("its entries are of an older era of the store"))
	}
	return nil
}
