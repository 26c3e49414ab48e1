// Package weighted spreads requests over destinations by weight.
package weighted

import (
	"slices"

	"redwingsill/core/destination"
)

// Turn picks destinations in turn, so that after any number of picks each has had its part within one request. It is
// immutable.
type Turn struct {
	destinations []destination.Destination
	credits      []float64
}

// New returns a turn. The seed, from 0 to 1, tells where it begins, so that hosts do not all begin alike.
func New(destinations []destination.Destination, seed float64) Turn {
	t := Turn{destinations: destinations, credits: make([]float64, len(destinations))}
	total := t.total()
	for i, d := range destinations {
		t.credits[i] = (seed - 0.5) * (1 - float64(d.Weight)/max(total, 1))
	}
	return t
}

// IsFor reports whether the turn is for these destinations.
func (t Turn) IsFor(destinations []destination.Destination) bool {
	return slices.Equal(t.destinations, destinations)
}

// Next returns the service that is next, and the turn after it.
func (t Turn) Next() (string, Turn) {
	if len(t.destinations) == 1 {
		return t.destinations[0].Service, t
	}
	total := t.total()
	credits := slices.Clone(t.credits)
	best := 0
	for i, d := range t.destinations {
		credits[i] += float64(d.Weight) / max(total, 1)
		if credits[i] > credits[best] {
			best = i
		}
	}
	credits[best]--
	t.credits = credits
	return t.destinations[best].Service, t
}

func (t Turn) total() float64 {
	total := 0
	for _, d := range t.destinations {
		total += d.Weight
	}
	return float64(total)
}
