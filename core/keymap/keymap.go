// Package keymap holds which backend server owns which keys of a divided service.
package keymap

import (
	"cmp"
	"slices"
	"sort"

	"redwingsill/core/holding"
	"redwingsill/core/keyrange"
)

// Map is the holdings of one service in the order of their ranges, none of which overlap. It is immutable.
type Map struct {
	holdings []holding.Holding
}

// New returns the map of the holdings. Of holdings that overlap, the one with the higher token counts.
func New(holdings ...holding.Holding) Map {
	sorted := slices.Clone(holdings)
	slices.SortFunc(sorted, byRange)
	if !overlaps(sorted) {
		return Map{holdings: merged(sorted)}
	}
	slices.SortStableFunc(sorted, func(a, b holding.Holding) int { return cmp.Compare(a.Fence, b.Fence) })
	m := Map{}
	for _, h := range sorted {
		m = m.With(h)
	}
	return m
}

// With returns the map in which h replaces whatever held its keys.
func (m Map) With(h holding.Holding) Map {
	next := make([]holding.Holding, 0, len(m.holdings)+2)
	for _, old := range m.holdings {
		for _, left := range old.Range.Minus(h.Range) {
			next = append(next, old.WithRange(left))
		}
	}
	next = append(next, h)
	slices.SortFunc(next, byRange)
	return Map{holdings: merged(next)}
}

func byRange(a, b holding.Holding) int { return cmp.Compare(a.Range.From, b.Range.From) }

// overlaps reports whether any two holdings in the order of their ranges have a key in common.
func overlaps(sorted []holding.Holding) bool {
	for i := 1; i < len(sorted); i++ {
		if sorted[i].Range.From <= sorted[i-1].Range.To {
			return true
		}
	}
	return false
}

// WithJoined is With, but takes the ranges next to h that have the same owner in under h's token, unless they overlap one
// of those to leave. It returns the map in which one grant covers all of them.
func (m Map) WithJoined(h holding.Holding, leave []keyrange.Range) Map {
	for _, other := range m.holdings {
		isLeft := slices.ContainsFunc(leave, func(r keyrange.Range) bool { return r.Overlaps(other.Range) })
		if other.Owner != h.Owner || isLeft {
			continue
		}
		if other.Range.From <= h.Range.To+1 && h.Range.From <= other.Range.To+1 {
			h.Range = keyrange.Range{From: min(h.Range.From, other.Range.From), To: max(h.Range.To, other.Range.To)}
		}
	}
	return m.With(h)
}

// merged joins neighbours of the same owner and token.
func merged(sorted []holding.Holding) []holding.Holding {
	joined := make([]holding.Holding, 0, len(sorted))
	for _, h := range sorted {
		if n := len(joined) - 1; n >= 0 && joined[n].Owner == h.Owner && joined[n].Fence == h.Fence &&
			joined[n].Range.To+1 == h.Range.From {
			joined[n].Range.To = h.Range.To
			continue
		}
		joined = append(joined, h)
	}
	return joined
}

// OwnerOf returns the holding of a key, and whether there is one.
func (m Map) OwnerOf(key int) (holding.Holding, bool) {
	n := sort.Search(len(m.holdings), func(i int) bool { return m.holdings[i].Range.To >= key })
	if n == len(m.holdings) || !m.holdings[n].Range.Contains(key) {
		return holding.Holding{}, false
	}
	return m.holdings[n], true
}

// Holdings returns all holdings in the order of their ranges. They must not be changed.
func (m Map) Holdings() []holding.Holding { return m.holdings }

// In returns the parts of holdings that lie in a range.
func (m Map) In(r keyrange.Range) []holding.Holding {
	var parts []holding.Holding
	for _, h := range m.holdings {
		if both, ok := h.Range.Intersect(r); ok {
			parts = append(parts, h.WithRange(both))
		}
	}
	return parts
}

// Gaps returns the ranges that nobody holds.
func (m Map) Gaps() []keyrange.Range {
	left := []keyrange.Range{keyrange.All()}
	for _, h := range m.holdings {
		n := len(left) - 1
		left = append(left[:n], left[n].Minus(h.Range)...)
		if len(left) == n {
			break
		}
	}
	return left
}

// Width returns how many keys an owner has.
func (m Map) Width(owner string) int {
	width := 0
	for _, h := range m.holdings {
		if h.Owner == owner {
			width += h.Range.Width()
		}
	}
	return width
}
