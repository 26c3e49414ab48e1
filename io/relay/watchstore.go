package relay

import (
	"context"
	"time"

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
			r.recordSuccess(host.name)
			r.updateReplica(prefix, func(current replica) replica {
				return current.withAll(relayed.Records, relayed.Revision).withPeerConfirmation(r.now().Add(-relayed.Age))
			})
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
	return records, revision, err
}

// Watch implements [redwingsill/io/watch.Store].
func (r *Relay) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]record.Record, int64, error) {
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
