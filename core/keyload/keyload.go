// Package keyload measures the recent request rate of each key of a sharded service. Its load is one whose hot keys change
// every few seconds: 60 to 200 neighbouring keys, or one alone, get a third of all requests from one moment to the next.
package keyload

import (
	"math"
	"time"

	"github.com/benbjohnson/immutable"

	"redwingsill/core/keyrange"
	"redwingsill/core/keyrates"
)

// halfLife is the time in which a count decays to half. It is short, since hot key ranges last only some seconds.
const halfLife = 1500 * time.Millisecond

// shortHalfLife is the time in which the recent count of a key decays to half. It counts for keys that are hot, whose rate is
// to be known within a fraction of a second.
const (
	shortHalfLife        = halfLife / shortHalfLifeDivisor
	shortHalfLifeDivisor = 5
)

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

// WithRequest counts one more request for a key. A key that does not exist is not counted.
func (l Load) WithRequest(key int, now time.Time) Load {
	if key < 0 || key > keyrange.MaxKey {
		return l
	}
	c, _ := l.keys.Get(key)
	c = c.decayedAt(now)
	c.value, c.recent = c.value+1, c.recent+1
	l.keys = l.keys.Set(key, c)
	return l
}

// Rates returns the request rate of each key at now: over the last halfLife, or over the last shortHalfLife for hot keys.
func (l Load) Rates(now time.Time) keyrates.Rates {
	counted := make([]keyCount, 0, l.keys.Len())
	// index has the position of each key in counted, from 1.
	var index [keyrange.MaxKey + 1]int32
	for itr := l.keys.Iterator(); !itr.Done(); {
		key, c, _ := itr.Next()
		c = c.decayedAt(now)
		counted = append(counted, keyCount{key: key, value: c.value, recent: c.recent})
		index[key] = int32(len(counted))
	}
	all := make([]keyCount, 0, len(counted))
	for _, n := range index {
		if n > 0 {
			all = append(all, counted[n-1])
		}
	}
	keys := make([]int, len(all))
	for i, k := range all {
		keys[i] = k.key
	}
	return keyrates.New(keys, presentRates(all))
}

// Rate returns the request rate of one key at now.
func (l Load) Rate(key int, now time.Time) float64 {
	c, _ := l.keys.Get(key)
	return c.decayedAt(now).value * math.Ln2 / halfLife.Seconds()
}

// Pruned returns the load without the keys whose count has decayed below minCount. It does nothing within pruneInterval of the
// last time that it did something.
func (l Load) Pruned(now time.Time) Load {
	if now.Sub(l.prunedAt) < pruneInterval {
		return l
	}
	keys := l.keys
	for itr := l.keys.Iterator(); !itr.Done(); {
		if key, c, _ := itr.Next(); c.decayedAt(now).value < minCount {
			keys = keys.Delete(key)
		}
	}
	return Load{keys: keys, prunedAt: now}
}

// IsZero reports whether no requests are counted.
func (l Load) IsZero() bool { return l.keys.Len() == 0 }
