// Package weighted distributes requests among destinations by weight.
package weighted

import (
	"slices"

	"redwingsill/core/destination"
)

// RoundRobin implements smooth weighted round-robin: after any number of picks, the count of each destination is within
// about 1.5 requests of its share for a few destinations, and a little further off for many. It is immutable.
type RoundRobin struct {
	destinations []destination.Destination
	// credits gives, by destination, how many requests the destination is behind its share, plus its initial credit.
	credits []float64
}

// New returns a round-robin of one or more destinations. The seed, from 0 to 1, sets the initial credits, so that entry
// hosts do not all begin with the same destination. It has no effect on destinations of equal weight.
func New(destinations []destination.Destination, seed float64) RoundRobin {
	r := RoundRobin{destinations: destinations, credits: make([]float64, len(destinations))}
	total := r.totalWeight()
	for i, d := range destinations {
		r.credits[i] = (seed - 0.5) * (1 - float64(d.Weight)/max(total, 1))
	}
	return r
}

// Matches reports whether the round-robin has exactly these destinations and weights.
func (r RoundRobin) Matches(destinations []destination.Destination) bool {
	return slices.Equal(r.destinations, destinations)
}

// Next returns the next service and the round-robin after it.
func (r RoundRobin) Next() (string, RoundRobin) {
	if len(r.destinations) == 1 {
		return r.destinations[0].Service, r
	}
	total := r.totalWeight()
	credits := slices.Clone(r.credits)
	best := 0
	for i, d := range r.destinations {
		credits[i] += float64(d.Weight) / max(total, 1)
		if credits[i] > credits[best] {
			best = i
		}
	}
	credits[best]--
	r.credits = credits
	return r.destinations[best].Service, r
}

func (r RoundRobin) totalWeight() float64 {
	total := 0
	for _, d := range r.destinations {
		total += d.Weight
	}
	return float64(total)
}
