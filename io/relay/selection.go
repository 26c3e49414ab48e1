package relay

import (
	"errors"
	"maps"
	"math/rand/v2"
	"time"

	"redwingsill/core/kind"
)

// isStoreFailing reports whether a call of this host to the store for a prefix failed so recently that this host should
// not call the store again yet. Relaying hosts and the top-ranked host retry soon; the others wait longer, since all
// hosts at once would overload a store that has just recovered.
func (r *Relay) isStoreFailing(prefix string) bool {
	failedAt := r.replicas[prefix].Read().failedAt
	if failedAt.IsZero() {
		return false
	}
	top := r.candidates(r.dataCentre)
	if r.isRelaying() || len(top) == 0 || top[0].name == r.name {
		return r.now().Sub(failedAt) < relayingRetryInterval
	}
	delay := min(relayingRetryInterval<<min(r.replicas[prefix].Read().failures, maxDoublings), retryInterval)
	return r.now().Sub(failedAt) < delay/2+rand.N(delay)
}

func newStoreFailingError() error {
	return newError("read the store", kind.Unavailable, errors.New("a recent call of this host to the store failed, and no relaying host can be asked"))
}

// selectRelayingHost returns the relaying host to ask, and whether there is one. If there is none, the caller reads the
// store itself, unless isStoreFailing reports true. A host of this data centre is asked if it ranks above this one and
// this one is not a relaying host. If no such host may be asked, hosts of other data centres are asked while this
// host's calls to the store fail.
func (r *Relay) selectRelayingHost(prefix string) (candidate, bool) {
	now := r.now()
	isStoreFailing := r.isStoreFailing(prefix)
	if !r.isRelaying() {
		for _, c := range r.candidates(r.dataCentre) {
			if c.name == r.name {
				break
			}
			if r.mayAsk(c, isStoreFailing, now) {
				return c, true
			}
		}
	}
	if !isStoreFailing {
		return candidate{}, false
	}
	for _, other := range r.directory.Read().DataCentres() {
		if other == r.dataCentre {
			continue
		}
		for _, c := range r.candidates(other) {
			if r.mayAsk(c, true, now) {
				return c, true
			}
		}
	}
	return candidate{}, false
}

// mayAsk reports whether the backoff of a host has passed. A host that answered that it has no fresh entries is asked
// again sooner while the store fails for this host too.
func (r *Relay) mayAsk(c candidate, isStoreFailing bool, now time.Time) bool {
	b := (*r.backoffs.Read())[c.name]
	if isStoreFailing && b.isUnavailable {
		return !now.Before(b.failedAt.Add(unavailableRetryInterval))
	}
	return !now.Before(b.retryAt)
}

// candidates returns the relaying hosts of a data centre, the top-ranked first.
func (r *Relay) candidates(dataCentre string) []candidate {
	hosts := r.directory.Read()
	top := hosts.TopRanked(rankingPrefix+dataCentre, maxRelayingHosts, func(name string) bool {
		h, _ := hosts.Find(name)
		return h.DataCentre != dataCentre
	})
	all := make([]candidate, len(top))
	for i, h := range top {
		all[i] = candidate{name: h.Name, address: h.Address}
	}
	return all
}

// recordFailure starts or extends the backoff of a host, which grows with each failure in a row.
func (r *Relay) recordFailure(name string, err error) {
	now := r.now()
	isNew := false
	next := r.backoffs.Update(func(old map[string]backoff) map[string]backoff {
		b, known := old[name]
		isNew = !known
		next := maps.Clone(old)
		if !now.Before(b.retryAt) { // else the failure of a concurrent request to the host has been counted already
			b.retryAt = now.Add(min(minBackoff<<min(b.failures, maxDoublings), maxBackoff))
			b.failures++
		}
		b.failedAt, b.isUnavailable = now, kind.Is(err, kind.Unavailable)
		next[name] = b
		return next
	})
	if isNew {
		r.log.Info("no store updates from relaying host", "By", name, "Failures", next[name].failures, "Error", err)
	}
}

// recordSuccess ends the backoff of a host.
func (r *Relay) recordSuccess(name string) {
	if _, ok := (*r.backoffs.Read())[name]; !ok {
		return
	}
	r.log.Info("store updates from relaying host again", "By", name)
	r.backoffs.Update(func(old map[string]backoff) map[string]backoff {
		next := maps.Clone(old)
		delete(next, name)
		return next
	})
}
