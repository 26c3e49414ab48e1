// Package keyload measures the recent request rate of each key of a sharded service.
package keyload

import (
	"math"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"redwingsill/core/keyrates"
)

// halfLife is the time in which a count decays to half. It is short, since hot key ranges last only some seconds.
const halfLife = 1500 * time.Millisecond

// pruneInterval is the time between two passes over all keys to drop those with few requests.
const pruneInterval = time.Second

// minCount is the decayed number of requests below which a key is dropped.
const minCount = 0.02

// Load is the decayed number of requests for each key. It is immutable.
type Load struct {
	keys *immutable.Map[int, count]
	// prunedAt is the time of the last pass over all keys.
	prunedAt time.Time
}

// New returns an empty load.
func New() Load { return Load{keys: immutable.NewMap[int, count](nil)} }

// WithRequest counts one more request for a key.
func (l Load) WithRequest(key int, now time.Time) Load {
	c, _ := l.keys.Get(key)
	l.keys = l.keys.Set(key, count{value: c.decayedAt(now) + 1, updatedAt: now})
	return l
}

// Rates returns the request rate of each key at now.
func (l Load) Rates(now time.Time) keyrates.Rates {
	all := make([]keyCount, 0, l.keys.Len())
	for itr := l.keys.Iterator(); !itr.Done(); {
		key, c, _ := itr.Next()
		all = append(all, keyCount{key: key, count: c.decayedAt(now)})
	}
	slices.SortFunc(all, func(a, b keyCount) int { return a.key - b.key })
	keys, rates := make([]int, len(all)), make([]float64, len(all))
	for i, k := range all {
		// At a constant rate, a count settles at rate * halfLife / ln 2.
		keys[i], rates[i] = k.key, k.count*math.Ln2/halfLife.Seconds()
	}
	return keyrates.New(keys, rates)
}

// Pruned returns the load without the keys whose count has decayed below minCount. It does nothing within pruneInterval of the
// last time that it did something.
func (l Load) Pruned(now time.Time) Load {
	if now.Sub(l.prunedAt) < pruneInterval {
		return l
	}
	keys := l.keys
	for itr := l.keys.Iterator(); !itr.Done(); {
		if key, c, _ := itr.Next(); c.decayedAt(now) < minCount {
			keys = keys.Delete(key)
		}
	}
	return Load{keys: keys, prunedAt: now}
}

// IsZero reports whether no requests are counted.
func (l Load) IsZero() bool { return l.keys.Len() == 0 }
