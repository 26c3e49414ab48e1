// Package hotkeys finds the most requested keys in bounded space.
package hotkeys

import (
	"slices"
	"time"

	"redwingsill/core/requestrate"
)

// maxKeys bounds the keys that are counted at the same time.
const maxKeys = 24

// halfLife is the time in which a count decays to half.
const halfLife = 4 * time.Second

// decayStep is the resolution of the decay. Shorter steps would copy the counts more often.
const decayStep = halfLife / 8

// stepDecay is the decay factor of one step: 2^(-1/8), rounded.
const stepDecay = 0.917

// maxDecaySteps bounds the work after a long pause; the counts are close to 0 by then.
const maxDecaySteps = 200

// ln2 is the natural logarithm of 2, rounded.
const ln2 = 0.693

// HotKeys is a Space-Saving sketch of the keys requested from one backend server. It is immutable.
type HotKeys struct {
	counts    []count
	decayedAt time.Time
}

// With counts weight more requests for the key with the given hash at now.
func (h HotKeys) With(hash uint64, weight float64, now time.Time) HotKeys {
	h = h.decayed(now)
	next := slices.Clone(h.counts)
	least := 0
	for i := range next {
		if next[i].hash == hash {
			next[i].weight += weight
			return HotKeys{counts: next, decayedAt: h.decayedAt}
		}
		if next[i].weight < next[least].weight {
			least = i
		}
	}
	if len(next) < maxKeys {
		next = append(next, count{hash: hash, weight: weight})
	} else {
		next[least] = count{hash: hash, weight: next[least].weight + weight, overcount: next[least].weight}
	}
	return HotKeys{counts: next, decayedAt: h.decayedAt}
}

// Top returns the keys with at least minRate requests per second, the most requested first. The rate of a key leaves out
// its overcount.
func (h HotKeys) Top(service, server string, minRate float64, now time.Time) []requestrate.RequestRate {
	h = h.decayed(now)
	// At a constant rate, a weight settles at rate * halfLife / ln 2.
	perSecond := ln2 / halfLife.Seconds()
	var found []requestrate.RequestRate
	for _, c := range h.counts {
		if r := (c.weight - c.overcount) * perSecond; r >= minRate {
			found = append(found, requestrate.RequestRate{Service: service, Server: server, KeyHash: c.hash, Rate: r})
		}
	}
	slices.SortFunc(found, func(a, b requestrate.RequestRate) int {
		if a.Rate > b.Rate {
			return -1
		}
		return 1
	})
	return found
}

// decayed returns the sketch decayed to now, in whole decay steps.
func (h HotKeys) decayed(now time.Time) HotKeys {
	if h.decayedAt.IsZero() {
		return HotKeys{counts: h.counts, decayedAt: now}
	}
	steps := int(now.Sub(h.decayedAt) / decayStep)
	if steps <= 0 {
		return h
	}
	factor := 1.0
	for range min(steps, maxDecaySteps) {
		factor *= stepDecay
	}
	next := slices.Clone(h.counts)
	for i := range next {
		next[i].weight *= factor
		next[i].overcount *= factor
	}
	return HotKeys{counts: next, decayedAt: h.decayedAt.Add(time.Duration(steps) * decayStep)}
}
