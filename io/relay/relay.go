// Package relay lets few entry hosts read the store for the others of their data centre. Each host asks the first ones of an
// order that all know; one that is asked reads the store. Where none of them answers a host reads the store itself.
package relay

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"redwingsill/core/contact"
	"redwingsill/core/directory"
	"redwingsill/core/kind"
	"redwingsill/core/rcu"
	"redwingsill/core/record"
	"redwingsill/io/follow"
	"redwingsill/io/task"
)

// Relay is one host's way to the store's news. It implements follow.Store for the host itself and news.Source for others.
// Its methods may be called at the same time.
type Relay struct {
	name       string
	dataCentre string
	store      follow.Store
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
	contact *rcu.Value[contact.Contact]
	avoided *rcu.Value[map[string]avoided]
}

// New returns the way of a host in a data centre to some prefixes. The pauses tell, by prefix, how long changes are gathered
// before the store is read again.
func New(name, dataCentre string, pauses map[string]time.Duration, s follow.Store, peers Peers,
	hosts *rcu.Value[directory.Directory], now func() time.Time, log *slog.Logger) *Relay {
	r := &Relay{name: name, dataCentre: dataCentre, store: s, peers: peers, directory: hosts, now: now, log: log,
		copies: map[string]*rcu.Value[copied]{}, pauses: pauses, base: now(), turn: rcu.New(newTurn()),
		contact: rcu.New(contact.Contact{}),
		avoided: rcu.New(map[string]avoided{})}
	for prefix := range pauses {
		r.copies[prefix] = rcu.New(copied{changed: make(chan struct{})})
	}
	r.askedAt.Store(-int64(askedFor))
	return r
}

// List implements follow.Store.
func (r *Relay) List(ctx context.Context, prefix string, mayBeStale bool) ([]record.Record, int64, error) {
	for {
		name, address, ok := r.reader()
		if !ok {
			break
		}
		records, at, err := r.peers.Entries(ctx, address, prefix)
		if err == nil {
			r.answers(name)
			r.keep(prefix, func(c copied) copied { return c.withAll(records, at).withPeer() })
			return records, at, nil
		}
		if ctx.Err() != nil {
			return nil, 0, err
		}
		r.avoid(name, err)
	}
	if err := r.mayRead(prefix); err != nil {
		return nil, 0, err
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

// Watch implements follow.Store.
func (r *Relay) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]record.Record, int64, error) {
	for {
		name, address, ok := r.reader()
		if !ok {
			break
		}
		changes, at, err := r.listen(ctx, address, prefix, after)
		switch {
		case err == nil:
			r.answers(name)
			r.keep(prefix, func(c copied) copied { return c.with(changes, at).withPeer() })
			r.heard(prefix)
			return changes, at, nil
		case ctx.Err() != nil || isKind(err, kind.NotFound):
			return nil, 0, err
		case !r.isAsked(): // else it was this host that ended the question
			r.avoid(name, err)
		}
	}
	if err := r.mayRead(prefix); err != nil {
		return nil, 0, err
	}
	if last := r.copies[prefix].Read().readAt; last.IsZero() {
		wait = confirmWait
	} else if rest := r.pauses[prefix] - r.now().Sub(last); rest > 0 {
		task.Sleep(ctx, rest)
	}
	changes, at, err := r.store.Watch(ctx, prefix, after, wait)
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

// Contact returns this host's contact with the store, by itself or through another host.
func (r *Relay) Contact() contact.Contact { return r.contact.Load() }

// heard notes a word from the store. Only the prefixes that are watched without a pause tell of it often enough.
func (r *Relay) heard(prefix string) {
	if r.pauses[prefix] == 0 {
		now := r.now()
		r.contact.Update(func(c contact.Contact) contact.Contact { return c.With(now) })
	}
}

// listen waits for another host's news, until this host has to read the store itself.
func (r *Relay) listen(ctx context.Context, address netip.AddrPort, prefix string, after int64) ([]record.Record, int64, error) {
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

// mayRead returns an error while the store should be left alone: it failed this host, and no other host needs its news
// from here. All hosts at once would be more than the store can bear as it returns.
func (r *Relay) mayRead(prefix string) error {
	failedAt := r.copies[prefix].Read().failedAt
	if failedAt.IsZero() || r.isFirst() || r.now().Sub(failedAt) >= ownPause/2+rand.N(ownPause) {
		return nil
	}
	return newError("read the store", kind.Unavailable, errors.New("the store failed this host and those that read it for others"))
}

// isFirst reports whether other hosts rely on this one.
func (r *Relay) isFirst() bool {
	first := r.candidates()
	return r.isAsked() || len(first) == 0 || first[0].name == r.name
}

// reader returns the host to ask, and whether there is one; else this host reads the store itself.
func (r *Relay) reader() (string, netip.AddrPort, bool) {
	if r.isAsked() {
		return "", netip.AddrPort{}, false
	}
	now := r.now()
	for _, c := range r.candidates() {
		if c.name == r.name {
			break
		}
		if !now.Before((*r.avoided.Read())[c.name].until) {
			return c.name, c.address, true
		}
	}
	return "", netip.AddrPort{}, false
}

// candidates returns the hosts of the data centre that read the store for others, the first one first.
func (r *Relay) candidates() []candidate {
	hosts := r.directory.Read()
	first := hosts.First(subject+r.dataCentre, readers, func(name string) bool {
		h, _ := hosts.Find(name)
		return h.DataCentre != r.dataCentre
	})
	all := make([]candidate, len(first))
	for i, h := range first {
		all[i] = candidate{name: h.Name, address: h.Address}
	}
	return all
}

func (r *Relay) isAsked() bool { return r.now().Sub(r.base)-time.Duration(r.askedAt.Load()) < askedFor }

// avoid leaves a host alone for a while. One that answers that it does not know the store's news is asked again soon, since
// that costs the store nothing.
func (r *Relay) avoid(name string, err error) {
	now := r.now()
	isTold := isKind(err, kind.Unavailable)
	isNew := false
	next := r.avoided.Update(func(old map[string]avoided) map[string]avoided {
		a, known := old[name]
		isNew = !known
		if now.Before(a.until) { // another question to it has failed as well
			return old
		}
		next := maps.Clone(old)
		if isTold {
			a.until = now.Add(toldPause/2 + rand.N(toldPause))
		} else {
			a.until = now.Add(min(avoidFirst<<min(a.failures, 8), avoidMost))
			a.failures++
		}
		next[name] = a
		return next
	})
	if isNew {
		r.log.Info("news not told", "By", name, "Failures", next[name].failures, "Error", err)
	}
}

// answers notes that a host has answered.
func (r *Relay) answers(name string) {
	if _, ok := (*r.avoided.Read())[name]; !ok {
		return
	}
	r.log.Info("news told again", "By", name)
	r.avoided.Update(func(old map[string]avoided) map[string]avoided {
		next := maps.Clone(old)
		delete(next, name)
		return next
	})
}

func isKind(err error, k kind.Kind) bool {
	var failed interface{ IsKind(kind.Kind) bool }
	return errors.As(err, &failed) && failed.IsKind(k)
}
