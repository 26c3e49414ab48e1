// Package keyrates holds the rate of requests for each key at one moment.
package keyrates

import (
	"sort"

	"redwingsill/core/keyrange"
)

// Rates is the keys that have work, in order. It is immutable.
type Rates struct {
	keys  []int
	rates []float64
	// sums gives the rates of all keys before each.
	sums []float64
}

// New returns the rates, a second, of keys that are in order.
func New(keys []int, rates []float64) Rates {
	sums := make([]float64, len(keys)+1)
	for i, rate := range rates {
		sums[i+1] = sums[i] + rate
	}
	return Rates{keys: keys, rates: rates, sums: sums}
}

// In returns the keys of a range and the rate of each.
func (r Rates) In(of keyrange.Range) ([]int, []float64) {
	from, to := r.bounds(of)
	return r.keys[from:to], r.rates[from:to]
}

// Sum returns the rate of all keys of a range.
func (r Rates) Sum(of keyrange.Range) float64 {
	from, to := r.bounds(of)
	return r.sums[to] - r.sums[from]
}

// Hottest returns the key with the most requests, and their rate; without any the rate is 0.
func (r Rates) Hottest() (int, float64) {
	key, most := 0, 0.0
	for i, rate := range r.rates {
		if rate > most {
			key, most = r.keys[i], rate
		}
	}
	return key, most
}

func (r Rates) bounds(of keyrange.Range) (int, int) {
	return sort.SearchInts(r.keys, of.From), sort.SearchInts(r.keys, of.To+1)
}
