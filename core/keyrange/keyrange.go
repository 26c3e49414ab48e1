// Package keyrange holds ranges of the keys of a sharded service. A key is a number from 0 to 65535 that the caller
// sends with the request; it is not hashed.
package keyrange

import (
	"sort"
	"strconv"
)

// MaxKey is the highest key; the lowest is 0.
const MaxKey = 65535

// Range is the keys from From to To, both included.
type Range struct {
	From int
	To   int
}

// All returns the range of all keys.
func All() Range { return Range{From: 0, To: MaxKey} }

// Contains reports whether a key lies in the range.
func (r Range) Contains(key int) bool { return r.From <= key && key <= r.To }

// Overlaps reports whether the ranges share a key.
func (r Range) Overlaps(o Range) bool { return r.From <= o.To && o.From <= r.To }

// Width returns the number of keys in the range.
func (r Range) Width() int { return r.To - r.From + 1 }

// Share returns the fraction of all keys that lie in the range, from 0 to 1.
func (r Range) Share() float64 { return float64(r.Width()) / (MaxKey + 1) }

// Intersect returns the keys that lie in both ranges, and whether there are any.
func (r Range) Intersect(o Range) (Range, bool) {
	common := Range{From: max(r.From, o.From), To: min(r.To, o.To)}
	return common, common.From <= common.To
}

// Minus returns the parts of r outside of o: none, one or two ranges.
func (r Range) Minus(o Range) []Range {
	if !r.Overlaps(o) {
		return []Range{r}
	}
	var rest []Range
	if r.From < o.From {
		rest = append(rest, Range{From: r.From, To: o.From - 1})
	}
	if o.To < r.To {
		rest = append(rest, Range{From: o.To + 1, To: r.To})
	}
	return rest
}

// MinusAll returns the parts of r outside of the given ranges, which are sorted and have no overlaps.
func (r Range) MinusAll(sorted []Range) []Range {
	parts := []Range{r}
	for _, o := range sorted[firstEndingAtOrAfter(sorted, r.From):] {
		if o.From > r.To {
			break
		}
		n := len(parts) - 1
		parts = append(parts[:n], parts[n].Minus(o)...)
		if len(parts) == n {
			break
		}
	}
	return parts
}

// OverlapsAny reports whether a range shares a key with any of the given ranges, which are sorted and have no overlaps.
func OverlapsAny(sorted []Range, r Range) bool {
	n := firstEndingAtOrAfter(sorted, r.From)
	return n < len(sorted) && sorted[n].Overlaps(r)
}

// firstEndingAtOrAfter returns the index of the first range that ends at a key or after it.
func firstEndingAtOrAfter(sorted []Range, key int) int {
	return sort.Search(len(sorted), func(i int) bool { return sorted[i].To >= key })
}

// String formats the range as "from-to".
func (r Range) String() string { return strconv.Itoa(r.From) + "-" + strconv.Itoa(r.To) }
