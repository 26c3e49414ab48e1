// Package keyrates holds the request rate of each key at one point in time.
package keyrates

import (
	"sort"

	"redwingsill/core/keyrange"
)

// Rates holds the request rate of each key that has requests, sorted by key. It is immutable.
type Rates struct {
	keys  []int
	rates []float64
	// sums[i] is the sum of the first i rates.
	sums []float64
}

// New returns the rates, in requests per second, of keys in ascending order. The caller must not modify the slices
// afterwards.
func New(keys []int, rates []float64) Rates {
	sums := make([]float64, len(keys)+1)
	for i, rate := range rates {
		sums[i+1] = sums[i] + rate
	}
	return Rates{keys: keys, rates: rates, sums: sums}
}

// In returns the keys in a range that have requests, and their rates. The caller must not modify the slices.
func (r Rates) In(keyRange keyrange.Range) ([]int, []float64) {
	from, to := r.bounds(keyRange)
	return r.keys[from:to], r.rates[from:to]
}

// Sum returns the total rate of the keys in a range.
func (r Rates) Sum(keyRange keyrange.Range) float64 {
	from, to := r.bounds(keyRange)
	return r.sums[to] - r.sums[from]
}

// Hottest returns the key with the highest rate, and that rate, which is 0 if there are no requests.
func (r Rates) Hottest() (int, float64) {
	key, highest := 0, 0.0
	for i, rate := range r.rates {
		if rate > highest {
			key, highest = r.keys[i], rate
		}
	}
	return key, highest
}

// bounds returns the indices of the first key in the range and of the first key after it.
func (r Rates) bounds(keyRange keyrange.Range) (int, int) {
	return sort.SearchInts(r.keys, keyRange.From), sort.SearchInts(r.keys, keyRange.To+1)
}
