// Package relay lets few entry hosts read the store for the others of their data centre. Each host asks the first ones of an
// order that all know; one that is asked reads the store. Where none of them answers a host reads the store itself.
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
	"redwingsill/io/watch"
)

// Relay is one host's way to the store's news. It implements watch.Store for the host itself and updates.Source for others.
// Its methods may be called at the same time.
type Relay struct {
	name       string
	dataCentre string
	store      watch.Store
	peers      Peers
	directory  *rcu.Value[directory.Directory]
	now        func() time.Time
	log        *slog.Logger
	// copies has the prefixes that are followed, each written by its follower alone, and pauses how long changes under each
	// are gathered before the store is watched again.
	copies map[string]*rcu.Value[copied]
	pauses map[string]time.Duration
	// askedAt is when another host last asked, as a time since base.
	base    time.Time
	askedAt atomic.Int64
	turn    *rcu.Value[turn]
	contact *rcu.Value[reachability.Reachability]
	avoided *rcu.Value[map[string]avoided]
}

// New returns the way of a host in a data centre to some prefixes. The pauses tell, by prefix, how long changes are gathered
// before the store is read again.
func New(name, dataCentre string, pauses map[string]time.Duration, s watch.Store, peers Peers,
	hosts *rcu.Value[directory.Directory], now func() time.Time, log *slog.Logger) *Relay {
	r := &Relay{name: name, dataCentre: dataCentre, store: s, peers: peers, directory: hosts, now: now, log: log,
		copies: map[string]*rcu.Value[copied]{}, pauses: pauses, base: now(), turn: rcu.New(newTurn()),
		contact: rcu.New(reachability.Reachability{}),
		avoided: rcu.New(map[string]avoided{})}
	for prefix := range pauses {
		r.copies[prefix] = rcu.New(copied{changed: make(chan struct{})})
	}
	r.askedAt.Store(-int64(askedFor))
	return r
}

// Since returns when the store had said, by this host's knowledge, that there was nothing newer under a prefix than what was
// known before the newest changes: they were written after it. It is the zero time where that is not known.
func (r *Relay) Since(prefix string) time.Time { return r.copies[prefix].Read().before }

// Contact returns this host's contact with the store, by itself or through another host.
func (r *Relay) Contact() reachability.Reachability { return r.contact.Load() }

// heard notes a word from the store. Only the prefixes that are watched without a pause tell of it often enough.
func (r *Relay) heard(prefix string) {
	if r.pauses[prefix] == 0 {
		now := r.now()
		r.contact.Update(func(c reachability.Reachability) reachability.Reachability { return c.WithAnswer(now) })
	}
}

// listen waits for another host's news, until this host has to read the store itself.
func (r *Relay) listen(ctx context.Context, address netip.AddrPort, prefix string, after int64) (update.Update, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(r.turn.Read().ctx, cancel)()
	return r.peers.Changes(ctx, address, prefix, after, peerWait)
}

// keep replaces the copy of a prefix and tells those who wait for it.
func (r *Relay) keep(prefix string, step func(copied) copied) {
	shared := r.copies[prefix]
	old := shared.Load()
	next := step(old)
	next.changed = make(chan struct{})
	shared.Store(next)
	close(old.changed)
}

func (r *Relay) isAsked() bool { return r.now().Sub(r.base)-time.Duration(r.askedAt.Load()) < askedFor }
