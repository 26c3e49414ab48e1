package relay

import (
	"errors"
	"maps"
	"math/rand/v2"
	"time"

	"redwingsill/core/kind"
)

// isStoreFailing reports whether a call of this host to the store failed so recently that this host should not call it
// again yet. Relaying hosts retry soon; the others wait longer, since all hosts at once would overload a store that
// returns.
func (r *Relay) isStoreFailing(prefix string) bool {
	failedAt := r.replicas[prefix].Read().failedAt
	if failedAt.IsZero() {
		return false
	}
	top := r.candidates(r.dataCentre)
	if r.isRelaying() || len(top) == 0 || top[0].name == r.name {
		return r.now().Sub(failedAt) < relayingRetryInterval
	}
	delay := min(relayingRetryInterval<<min(r.replicas[prefix].Read().failures, 8), retryInterval)
	return r.now().Sub(failedAt) < delay/2+rand.N(delay)
}

func newStoreFailingError() error {
	return newError("read the store", kind.Unavailable, errors.New("the store failed this host and its relaying hosts"))
}

// selectRelayingHost returns the relaying host to ask, and whether there is one; else this host reads the store itself.
// While the store fails for this host and for the relaying hosts of its data centre, it selects one of another data
// centre.
func (r *Relay) selectRelayingHost(prefix string) (candidate, bool) {
	now := r.now()
	isFailing := r.isStoreFailing(prefix)
	if !r.isRelaying() {
		for _, c := range r.candidates(r.dataCentre) {
			if c.name == r.name {
				break
			}
			if r.mayAsk(c, isFailing, now) {
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
			if r.mayAsk(c, true, now) {
				return c, true
			}
		}
	}
	return candidate{}, false
}

// mayAsk reports whether the backoff of a host has passed. A host that answered that it has no fresh entries is asked
// again sooner while the store fails for this host too.
func (r *Relay) mayAsk(c candidate, isFailing bool, now time.Time) bool {
	b := (*r.backoffs.Read())[c.name]
	if isFailing && b.isUnavailable {
		return !now.Before(b.failedAt.Add(unavailableRetryInterval))
	}
	return !now.Before(b.retryAt)
}

// candidates returns the hosts of a data centre that may be asked, the top-ranked first.
func (r *Relay) candidates(dataCentre string) []candidate {
	hosts := r.directory.Read()
	top := hosts.TopRanked(rankingPrefix+dataCentre, relayingHosts, func(name string) bool {
		h, _ := hosts.Find(name)
		return h.DataCentre != dataCentre
	})
	all := make([]candidate, len(top))
	for i, h := range top {
		all[i] = candidate{name: h.Name, address: h.Address}
	}
	return all
}

// recordFailure starts the backoff of a host, which grows with each failure in a row.
func (r *Relay) recordFailure(name string, err error) {
	now := r.now()
	isNew := false
	next := r.backoffs.Update(func(old map[string]backoff) map[string]backoff {
		b, known := old[name]
		isNew = !known
		next := maps.Clone(old)
		if !now.Before(b.retryAt) { // else the failure of a concurrent request to the host has been counted already
			b.retryAt = now.Add(min(minBackoff<<min(b.failures, 8), maxBackoff))
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
