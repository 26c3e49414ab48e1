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
	"redwingsill/core/update"
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
		to, ok := r.reader(prefix)
		if !ok {
			break
		}
		told, err := r.peers.Entries(ctx, to.address, prefix)
		if err == nil {
			r.answers(to.name)
			r.keep(prefix, func(c copied) copied { return c.withAll(told.Records, told.At).withPeer(r.now().Add(-told.Age)) })
			return told.Records, told.At, nil
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

// Watch implements follow.Store.
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
			r.keep(prefix, func(c copied) copied { return c.with(told.Records, told.At).withPeer(r.now().Add(-told.Age)) })
			r.heard(prefix)
			return told.Records, told.At, nil
		case ctx.Err() != nil || isKind(err, kind.NotFound):
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
	if isKind(err, kind.NotFound) { // the store has answered, and a list tells the rest
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

// Since returns when the store had said, by this host's knowledge, that there was nothing newer under a prefix than what was
// known before the newest changes: they were written after it. It is the zero time where that is not known.
func (r *Relay) Since(prefix string) time.Time { return r.copies[prefix].Read().before }

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

// isFailing reports whether the store should be left alone, since it failed this host just now. Those that others rely on try
// it again soon; all hosts at once would be more than it can bear as it returns.
func (r *Relay) isFailing(prefix string) bool {
	failedAt := r.copies[prefix].Read().failedAt
	if failedAt.IsZero() {
		return false
	}
	first := r.candidates(r.dataCentre)
	if r.isAsked() || len(first) == 0 || first[0].name == r.name {
		return r.now().Sub(failedAt) < readerPause
	}
	pause := min(readerPause<<min(r.copies[prefix].Read().failures, 8), ownPause)
	return r.now().Sub(failedAt) < pause/2+rand.N(pause)
}

func errFailing() error {
	return newError("read the store", kind.Unavailable, errors.New("the store failed this host and those that read it for others"))
}

// reader returns the host to ask, and whether there is one; else this host reads the store itself. Where the store fails
// this host and those of its data centre, the readers of others are asked.
func (r *Relay) reader(prefix string) (candidate, bool) {
	now := r.now()
	isFailing := r.isFailing(prefix)
	if !r.isAsked() {
		for _, c := range r.candidates(r.dataCentre) {
			if c.name == r.name {
				break
			}
			if r.isOpen(c, isFailing, now) {
				return c, true
			}
		}
	}
	if !isFailing {
		return candidate{}, false
	}
	for _, other := range r.directory.Read().DataCentres() {
		if other == r.dataCentre {
			continue
		}
		for _, c := range r.candidates(other) {
			if r.isOpen(c, true, now) {
				return c, true
			}
		}
	}
	return candidate{}, false
}

// isOpen reports whether a host may be asked. One that only said that it does not know is asked again soon by hosts that do
// not know either.
func (r *Relay) isOpen(c candidate, isFailing bool, now time.Time) bool {
	a := (*r.avoided.Read())[c.name]
	if isFailing && a.isTold {
		return !now.Before(a.since.Add(toldPause))
	}
	return !now.Before(a.until)
}

// candidates returns the hosts of a data centre that read the store for others, the first one first.
func (r *Relay) candidates(dataCentre string) []candidate {
	hosts := r.directory.Read()
	first := hosts.First(subject+dataCentre, readers, func(name string) bool {
		h, _ := hosts.Find(name)
		return h.DataCentre != dataCentre
	})
	all := make([]candidate, len(first))
	for i, h := range first {
		all[i] = candidate{name: h.Name, address: h.Address}
	}
	return all
}

func (r *Relay) isAsked() bool { return r.now().Sub(r.base)-time.Duration(r.askedAt.Load()) < askedFor }

// avoid leaves a host alone for a while, the longer the more often it failed in a row.
func (r *Relay) avoid(name string, err error) {
	now := r.now()
	isNew := false
	next := r.avoided.Update(func(old map[string]avoided) map[string]avoided {
		a, known := old[name]
		isNew = !known
		next := maps.Clone(old)
		if !now.Before(a.until) { // else another question to it has failed as well
			a.until = now.Add(min(avoidFirst<<min(a.failures, 8), avoidMost))
			a.failures++
		}
		a.since, a.isTold = now, isKind(err, kind.Unavailable)
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
