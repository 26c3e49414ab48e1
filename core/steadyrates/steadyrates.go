// Package steadyrates measures the request rates of a sharded service's keys over some seconds. Its load is an everyday one: each
// key has a request now and then, and a hot key for some seconds says nothing about the load that its server has to carry.
package steadyrates

import (
	"math"
	"time"

	"redwingsill/core/keyrange"
	"redwingsill/core/keyrates"
)

const (
	// bucketWidth is the number of neighbouring keys that are measured together. An owner has several times as many.
	bucketWidth = 32
	// halfLife is the time in which the rates take in half of a change. A server has some hundred requests in it.
	halfLife = 6 * time.Second
	// maxGrowth bounds the rate of a bucket that counts as a multiple of its steady rate and the present mean, so that a hot key
	// counts only if it stays hot.
	maxGrowth = 2
)

// Steady is the rates at one point in time. It is immutable.
type Steady struct {
	buckets   []float64
	updatedAt time.Time
	// count is the number of measurements.
	count int
}

// New returns rates without any measurement.
func New() Steady { return Steady{} }

// With returns the rates after a measurement of the present ones. The first ones count equally.
func (s Steady) With(rates keyrates.Rates, now time.Time) Steady {
	next := make([]float64, (keyrange.MaxKey+1)/bucketWidth)
	weight := 1 - math.Exp2(-now.Sub(s.updatedAt).Seconds()/halfLife.Seconds())
	weight = max(weight, 1/float64(s.count+1))
	mean := rates.Sum(keyrange.Range{From: 0, To: keyrange.MaxKey}) / float64(len(next))
	for i := range next {
		next[i] = rates.Sum(bucket(i))
		if s.buckets != nil {
			earlier := s.buckets[i]
			next[i] = earlier + weight*(min(next[i], maxGrowth*(earlier+mean))-earlier)
		}
	}
	return Steady{buckets: next, updatedAt: now, count: s.count + 1}
}

// Rates returns the rates as those of one key in the middle of each bucket.
func (s Steady) Rates() keyrates.Rates {
	keys := make([]int, len(s.buckets))
	for i := range keys {
		keys[i] = bucket(i).From + bucketWidth/2
	}
	return keyrates.New(keys, s.buckets)
}

func bucket(i int) keyrange.Range {
	return keyrange.Range{From: i * bucketWidth, To: (i+1)*bucketWidth - 1}
}
