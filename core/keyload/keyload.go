// Package keyload measures how much work comes for each key of a divided service.
package keyload

import (
	"math"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"redwingsill/core/keyrates"
)

// halfLife is the time in which what was measured loses half of its weight. Hot spans last some seconds, so it is short.
const halfLife = 1500 * time.Millisecond

// negligible is the work below which a key is forgotten, in requests.
const negligible = 0.02

// Load is the recent work for each key. It is immutable.
type Load struct {
	keys *immutable.Map[int, count]
}

// New returns a load that has seen nothing.
func New() Load { return Load{keys: immutable.NewMap[int, count](nil)} }

// With returns the load after one more request for a key.
func (l Load) With(key int, now time.Time) Load {
	c, _ := l.keys.Get(key)
	return Load{keys: l.keys.Set(key, count{value: c.at(now) + 1, since: now})}
}

// Rates returns the rate of requests for each key at now.
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
		rates[i] = c.at(now) * math.Ln2 / halfLife.Seconds()
	}
	return keyrates.New(keys, rates)
}

// Pruned returns the load without keys that have hardly any work left.
func (l Load) Pruned(now time.Time) Load {
	keys := l.keys
	for itr := l.keys.Iterator(); !itr.Done(); {
		if key, c, _ := itr.Next(); c.at(now) < negligible {
			keys = keys.Delete(key)
		}
	}
	return Load{keys: keys}
}

// IsZero reports whether no key has work.
func (l Load) IsZero() bool { return l.keys.Len() == 0 }
