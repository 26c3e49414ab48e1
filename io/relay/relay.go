// Package relay lets a few relaying hosts read the store for the other entry hosts of their data centre. Each host asks
// the top-ranked hosts in order, and a host that is asked reads the store. If none of them answers, the asking host
// reads the store itself and, while that fails, asks relaying hosts of other data centres.
package relay

import (
	"context"
	"log/slog"
	"net/netip"
	"sync/atomic"
	"time"

	"redwingsill/core/directory"
	"redwingsill/core/rcu"
	"redwingsill/core/reachability"
	"redwingsill/core/update"
)

// Relay reads the entries of the store for one host, through a relaying host or directly. It implements
// [redwingsill/io/watch.Store] for the host itself and [redwingsill/io/updates.Source] for other hosts. It is safe for
// concurrent use.
type Relay struct {
	name       string
	dataCentre string
	store      Store
	peers      Peers
	directory  *rcu.Value[directory.Directory]
	now        func() time.Time
	log        *slog.Logger
	// replicas has the replica of each prefix. Only the goroutine that watches the prefix replaces it. batchDelays has, by
	// prefix, the time for which changes are batched before the store is watched again.
	replicas    map[string]*rcu.Value[replica]
	batchDelays map[string]time.Duration
	// requestedAt is when another host last sent a request, as nanoseconds since startedAt.
	startedAt   time.Time
	requestedAt atomic.Int64
	// delegation is cancelled and replaced by a new one when this host becomes a relaying host.
	delegation   *rcu.Value[delegation]
	reachability *rcu.Value[reachability.Reachability]
	// backoffs has, by name, the backoff of each host to which the last request failed.
	backoffs *rcu.Value[map[string]backoff]
}

// New returns the relay of a host in a data centre for the prefixes in batchDelays, which maps each prefix to the time
// for which changes under it are batched before the store is read again.
func New(name, dataCentre string, batchDelays map[string]time.Duration, s Store, peers Peers,
	hosts *rcu.Value[directory.Directory], now func() time.Time, log *slog.Logger) *Relay {
	r := &Relay{name: name, dataCentre: dataCentre, store: s, peers: peers, directory: hosts, now: now, log: log,
		replicas: map[string]*rcu.Value[replica]{}, batchDelays: batchDelays, startedAt: now(), delegation: rcu.New(newDelegation()),
		reachability: rcu.New(reachability.Reachability{}), backoffs: rcu.New(map[string]backoff{})}
	for prefix := range batchDelays {
		r.replicas[prefix] = rcu.New(replica{changed: make(chan struct{})})
	}
	r.requestedAt.Store(-int64(relayingDuration)) // not a relaying host until the first request
	return r
}

// PreviousConfirmation returns when the store last confirmed that the previous replica of a prefix was up to date. The
// newest changes were written later. It is the zero time if that is not known.
func (r *Relay) PreviousConfirmation(prefix string) time.Time {
	return r.replicas[prefix].Read().previouslyConfirmedAt
}

// Reachability returns this host's record of when it reached the store, directly or through a relaying host.
func (r *Relay) Reachability() reachability.Reachability { return r.reachability.Load() }

// recordStoreContact records in the reachability that the store has responded to a list or watch, of this host or of a relaying
// host. Only those without a batch delay count, since the others return too rarely.
func (r *Relay) recordStoreContact(prefix string) {
	if r.batchDelays[prefix] == 0 {
		now := r.now()
		r.reachability.Update(func(c reachability.Reachability) reachability.Reachability { return c.WithAnswer(now) })
	}
}

// awaitChanges waits for changes from a relaying host, until this host becomes a relaying host itself.
func (r *Relay) awaitChanges(ctx context.Context, address netip.AddrPort, prefix string, after int64) (update.Update, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(r.delegation.Read().ctx, cancel)()
	return r.peers.Changes(ctx, address, prefix, after, changesWait)
}

// updateReplica replaces the replica of a prefix and wakes the requests that wait for a newer one.
func (r *Relay) updateReplica(prefix string, change func(replica) replica) {
	shared := r.replicas[prefix]
	previous := shared.Load()
	next := change(previous)
	next.changed = make(chan struct{})
	shared.Store(next)
	close(previous.changed)
}

// isRelaying reports whether another host has asked this one within the last relayingDuration.
func (r *Relay) isRelaying() bool {
	return r.now().Sub(r.startedAt)-time.Duration(r.requestedAt.Load()) < relayingDuration
}
