package relay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"redwingsill/core/era"
	"redwingsill/core/kind"
	"redwingsill/core/update"
)

// Entries implements [redwingsill/io/updates.Source].
func (r *Relay) Entries(ctx context.Context, prefix string) (update.Update, error) {
	r.recordRequest()
	current, err := r.awaitFresh(ctx, prefix)
	if err != nil {
		return update.Update{}, err
	}
	return update.Update{Records: current.cache.All(), Revision: current.cache.Revision(), Age: r.now().Sub(current.readAt)}, nil
}

// Changes implements [redwingsill/io/updates.Source].
func (r *Relay) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) (update.Update, error) {
	r.recordRequest()
	r.store.ObserveEra(era.Of(after)) // the other host may know a newer one
	current, err := r.awaitFresh(ctx, prefix)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for isTimedOut := false; err == nil; current, err = r.awaitFresh(ctx, prefix) {
		changes, ok := current.cache.ChangesAfter(after)
		switch {
		case !ok:
			return update.Update{}, newError("serve store updates", kind.NotFound, errors.New("the requested changes are no longer in the history"))
		case len(changes) > 0 || isTimedOut:
			return update.Update{Records: changes, Revision: current.cache.Revision(), Age: r.now().Sub(current.readAt)}, nil
		}
		staleTimer := time.NewTimer(current.readAt.Add(current.freshFor).Sub(r.now()))
		select {
		case <-current.changed:
		case <-staleTimer.C:
		case <-timer.C:
			isTimedOut = true
		case <-ctx.Done():
			err = newError("serve store updates", kind.Unavailable, ctx.Err())
		}
		staleTimer.Stop()
		if ctx.Err() != nil {
			return update.Update{}, err
		}
	}
	return update.Update{}, err
}

// recordRequest makes this host a relaying host, or keeps it one, on a request of another host.
func (r *Relay) recordRequest() {
	wasRelaying := r.isRelaying()
	r.requestedAt.Store(int64(r.now().Sub(r.startedAt)))
	if wasRelaying {
		return
	}
	r.log.Info("reading the store for other hosts")
	previous := r.delegation.Load()
	r.delegation.Store(newDelegation())
	previous.cancel()
}

// awaitFresh waits until the replica of a prefix is fresh, for at most awaitFreshTimeout, and returns it. Each error
// is an [*Error], of kind Invalid if the prefix is not watched and Unavailable otherwise.
func (r *Relay) awaitFresh(ctx context.Context, prefix string) (replica, error) {
	timer := time.NewTimer(awaitFreshTimeout)
	defer timer.Stop()
	shared, ok := r.replicas[prefix]
	if !ok {
		return replica{}, newError("serve store updates", kind.Invalid, fmt.Errorf("prefix %q is not watched", prefix))
	}
	for {
		current := shared.Load()
		now := r.now()
		if current.isFresh(now) && era.Of(current.cache.Revision()) >= r.store.Era() {
			return current, nil
		}
		if current.hasFailed(now) {
			return replica{}, newError("serve store updates", kind.Unavailable, errors.New("the last call of this host to the store failed"))
		}
		select {
		case <-current.changed:
		case <-timer.C:
			return replica{}, newError("serve store updates", kind.Unavailable, errors.New("the store has not responded to this host recently"))
		case <-ctx.Done():
			return replica{}, newError("serve store updates", kind.Unavailable, ctx.Err())
		}
	}
}
