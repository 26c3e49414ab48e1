// Package keymap holds the owners of a sharded service's keys.
package keymap

import (
	"cmp"
	"slices"
	"sort"

	"redwingsill/core/holding"
	"redwingsill/core/keyrange"
)

// Map is the holdings of one service, sorted by range and without overlaps. It is immutable.
type Map struct {
	holdings []holding.Holding
}

// New returns the map of the given holdings. Where holdings overlap, the higher fencing token wins.
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

// With assigns the keys of h to its owner in place of any earlier holdings.
func (m Map) With(h holding.Holding) Map {
	first, end := m.bounds(h.Range)
	next := make([]holding.Holding, 0, len(m.holdings)+2)
	next = append(next, m.holdings[:first]...)
	if first < end && m.holdings[first].Range.From < h.Range.From {
		next = appendMerged(next, m.holdings[first].WithRange(keyrange.Range{From: m.holdings[first].Range.From, To: h.Range.From - 1}))
	}
	next = appendMerged(next, h)
	if first < end && m.holdings[end-1].Range.To > h.Range.To {
		next = appendMerged(next, m.holdings[end-1].WithRange(keyrange.Range{From: h.Range.To + 1, To: m.holdings[end-1].Range.To}))
	}
	if end < len(m.holdings) {
		next = appendMerged(next, m.holdings[end])
		next = append(next, m.holdings[end+1:]...)
	}
	return Map{holdings: next}
}

// bounds returns the index of the first holding that overlaps a range, and that of the first one after the range.
func (m Map) bounds(r keyrange.Range) (int, int) {
	first := sort.Search(len(m.holdings), func(i int) bool { return m.holdings[i].Range.To >= r.From })
	end := first + sort.Search(len(m.holdings)-first, func(i int) bool { return m.holdings[first+i].Range.From > r.To })
	return first, end
}

func byRange(a, b holding.Holding) int { return cmp.Compare(a.Range.From, b.Range.From) }

// overlaps reports whether any two holdings, sorted by range, share a key.
func overlaps(sorted []holding.Holding) bool {
	for i := 1; i < len(sorted); i++ {
		if sorted[i].Range.From <= sorted[i-1].Range.To {
			return true
		}
	}
	return false
}

// WithAll is With for holdings without overlaps, in any order. It takes one pass over the map.
func (m Map) WithAll(all []holding.Holding) Map {
	if len(all) == 0 {
		return m
	}
	added := slices.SortedFunc(slices.Values(all), byRange)
	next := make([]holding.Holding, 0, len(m.holdings)+2*len(added))
	next = append(next, added...)
	n := 0
	for _, old := range m.holdings {
		for n < len(added) && added[n].Range.To < old.Range.From {
			n++
		}
		from := old.Range.From
		for i := n; i < len(added) && added[i].Range.From <= old.Range.To; i++ {
			if from < added[i].Range.From {
				next = append(next, old.WithRange(keyrange.Range{From: from, To: added[i].Range.From - 1}))
			}
			from = added[i].Range.To + 1
		}
		if from <= old.Range.To {
			next = append(next, old.WithRange(keyrange.Range{From: from, To: old.Range.To}))
		}
	}
	slices.SortFunc(next, byRange)
	return Map{holdings: merged(next)}
}

// WithJoined is like With, but extends h to adjacent holdings of the same owner, so that one grant covers them all.
// Holdings that overlap an excluded range are not joined. The excluded ranges are sorted and have no overlaps.
func (m Map) WithJoined(h holding.Holding, excluded []keyrange.Range) Map {
	// An adjacent holding ends one key before h, or begins one key after it.
	first, _ := m.bounds(keyrange.Range{From: h.Range.From - 1, To: h.Range.To})
	for _, other := range m.holdings[first:] {
		if other.Range.From > h.Range.To+1 {
			break
		}
		if other.Owner == h.Owner && !keyrange.OverlapsAny(excluded, other.Range) {
			h.Range = keyrange.Range{From: min(h.Range.From, other.Range.From), To: max(h.Range.To, other.Range.To)}
		}
	}
	return m.With(h)
}

// merged joins adjacent holdings with the same owner and token.
func merged(sorted []holding.Holding) []holding.Holding {
	joined := make([]holding.Holding, 0, len(sorted))
	for _, h := range sorted {
		joined = appendMerged(joined, h)
	}
	return joined
}

// appendMerged appends a holding, or joins it with the last one if they are adjacent and have the same owner and token.
func appendMerged(all []holding.Holding, h holding.Holding) []holding.Holding {
	if n := len(all) - 1; n >= 0 && all[n].Owner == h.Owner && all[n].Fence == h.Fence && all[n].Range.To+1 == h.Range.From {
		all[n].Range.To = h.Range.To
		return all
	}
	return append(all, h)
}

// HoldingOf returns the holding that contains a key, and whether there is one.
func (m Map) HoldingOf(key int) (holding.Holding, bool) {
	n := sort.Search(len(m.holdings), func(i int) bool { return m.holdings[i].Range.To >= key })
	if n == len(m.holdings) || !m.holdings[n].Range.Contains(key) {
		return holding.Holding{}, false
	}
	return m.holdings[n], true
}

// Holdings returns all holdings sorted by range. The caller must not modify the slice.
func (m Map) Holdings() []holding.Holding { return m.holdings }

// In returns the holdings that overlap a range, cut to that range.
func (m Map) In(r keyrange.Range) []holding.Holding {
	var parts []holding.Holding
	first, end := m.bounds(r)
	for _, h := range m.holdings[first:end] {
		if common, ok := h.Range.Intersect(r); ok {
			parts = append(parts, h.WithRange(common))
		}
	}
	return parts
}

// Gaps returns the ranges that have no owner.
func (m Map) Gaps() []keyrange.Range {
	var gaps []keyrange.Range
	from := 0
	for _, h := range m.holdings {
		if h.Range.From > from {
			gaps = append(gaps, keyrange.Range{From: from, To: h.Range.From - 1})
		}
		from = h.Range.To + 1
	}
	if from <= keyrange.MaxKey {
		gaps = append(gaps, keyrange.Range{From: from, To: keyrange.MaxKey})
	}
	return gaps
}

// KeyCount returns the number of keys of an owner.
func (m Map) KeyCount(owner string) int {
	count := 0
	for _, h := range m.holdings {
		if h.Owner == owner {
			count += h.Range.Width()
		}
	}
	return count
}
