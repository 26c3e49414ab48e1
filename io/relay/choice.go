package relay

import (
	"errors"
	"maps"
	"math/rand/v2"
	"time"

	"redwingsill/core/kind"
)

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
	first := hosts.TopRanked(subject+dataCentre, readers, func(name string) bool {
		h, _ := hosts.Find(name)
		return h.DataCentre != dataCentre
	})
	all := make([]candidate, len(first))
	for i, h := range first {
		all[i] = candidate{name: h.Name, address: h.Address}
	}
	return all
}

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
		a.since, a.isTold = now, kind.Is(err, kind.Unavailable)
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
