// Package keyrange holds spans of the keys of a divided service.
package keyrange

import "strconv"

// Last is the highest key. Keys run from 0 to Last.
const Last = 65535

// Range is the keys from From to To, both included.
type Range struct {
	From int
	To   int
}

// All returns the range of every key.
func All() Range { return Range{From: 0, To: Last} }

// Contains reports whether the key is in the range.
func (r Range) Contains(key int) bool { return r.From <= key && key <= r.To }

// Overlaps reports whether the ranges share a key.
func (r Range) Overlaps(o Range) bool { return r.From <= o.To && o.From <= r.To }

// Width returns the number of keys.
func (r Range) Width() int { return r.To - r.From + 1 }

// Share returns the part of all keys that the range holds, from 0 to 1.
func (r Range) Share() float64 { return float64(r.Width()) / (Last + 1) }

// Intersect returns the keys that both ranges hold, and whether there are any.
func (r Range) Intersect(o Range) (Range, bool) {
	both := Range{From: max(r.From, o.From), To: min(r.To, o.To)}
	return both, both.From <= both.To
}

// Minus returns what is left of r without o: none, one or two ranges.
func (r Range) Minus(o Range) []Range {
	if !r.Overlaps(o) {
		return []Range{r}
	}
	var left []Range
	if r.From < o.From {
		left = append(left, Range{From: r.From, To: o.From - 1})
	}
	if o.To < r.To {
		left = append(left, Range{From: o.To + 1, To: r.To})
	}
	return left
}

// String returns the range as "from-to".
func (r Range) String() string { return strconv.Itoa(r.From) + "-" + strconv.Itoa(r.To) }
