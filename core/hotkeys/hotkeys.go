// Package hotkeys counts the keys that are asked for most, in bounded space.
package hotkeys

import (
	"slices"
	"time"

	"redwingsill/core/requestrate"
)

// size bounds the keys that are counted at once.
const size = 24

// halfLife is the time in which a count falls by half.
const halfLife = 4 * time.Second

// HotKeys is a space-saving sketch of the keys of one backend server. It is immutable.
type HotKeys struct {
	counts []count
	at     time.Time
}

// With returns the sketch after weight more requests for a key at now.
func (h HotKeys) With(hash uint64, weight float64, now time.Time) HotKeys {
	h = h.decayed(now)
	next := slices.Clone(h.counts)
	least := 0
	for i := range next {
		if next[i].hash == hash {
			next[i].weight += weight
			return HotKeys{counts: next, at: h.at}
		}
		if next[i].weight < next[least].weight {
			least = i
		}
	}
	if len(next) < size {
		next = append(next, count{hash: hash, weight: weight})
	} else {
		next[least] = count{hash: hash, weight: next[least].weight + weight, excess: next[least].weight}
	}
	return HotKeys{counts: next, at: h.at}
}

// Top returns the keys asked for at least rate times a second, the most frequent first.
func (h HotKeys) Top(service, server string, rate float64, now time.Time) []requestrate.RequestRate {
	h = h.decayed(now)
	perSecond := 0.693 / halfLife.Seconds()
	var found []requestrate.RequestRate
	for _, c := range h.counts {
		if r := (c.weight - c.excess) * perSecond; r >= rate {
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

// decayed returns the sketch with its counts halved once for each half-life that has passed.
func (h HotKeys) decayed(now time.Time) HotKeys {
	if h.at.IsZero() {
		return HotKeys{counts: h.counts, at: now}
	}
	steps := int(now.Sub(h.at) / (halfLife / 8))
	if steps <= 0 {
		return h
	}
	factor := 1.0
	for range min(steps, 200) {
		factor *= 0.917
	}
	next := slices.Clone(h.counts)
	for i := range next {
		next[i].weight *= factor
		next[i].excess *= factor
	}
	return HotKeys{counts: next, at: h.at.Add(time.Duration(steps) * (halfLife / 8))}
}
