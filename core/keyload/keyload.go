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
	keys := make([]int, 0, l.keys.Len())
	for itr := l.keys.Iterator(); !itr.Done(); {
		key, _, _ := itr.Next()
		keys = append(keys, key)
	}
	slices.Sort(keys)
	rates := make([]float64, len(keys))
	for i, key := range keys {
		c, _ := l.keys.Get(key)
		// At a constant rate, a count settles at rate * halfLife / ln 2.
		rates[i] = c.decayedAt(now) * math.Ln2 / halfLife.Seconds()
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
