package keyrange_test

import (
	"testing"

	"pgregory.net/rapid"

	"redwingsill/core/keyrange"
)

// The coordinator must neither renew a key that moves nor leave out one that doesn't.
func TestMinusAllMatchesSingleKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sorted []keyrange.Range
		for from := rapid.IntRange(0, 20).Draw(t, "from"); from < 100; {
			r := keyrange.Range{From: from, To: from + rapid.IntRange(0, 10).Draw(t, "width")}
			sorted = append(sorted, r)
			from = r.To + 1 + rapid.IntRange(0, 10).Draw(t, "gap")
		}
		first := rapid.IntRange(0, 110).Draw(t, "first")
		r := keyrange.Range{From: first, To: first + rapid.IntRange(0, 60).Draw(t, "keys")}
		isLeft := map[int]bool{}
		last := -1
		for _, part := range r.MinusAll(sorted) {
			if part.From <= last {
				t.Fatalf("parts overlap or are not in order: %v", r.MinusAll(sorted))
			}
			last = part.To
			for key := part.From; key <= part.To; key++ {
				isLeft[key] = true
			}
		}
		overlaps := false
		for key := r.From - 5; key <= r.To+5; key++ {
			isIn := false
			for _, o := range sorted {
				isIn = isIn || o.Contains(key)
			}
			overlaps = overlaps || isIn && r.Contains(key)
			if isLeft[key] != (r.Contains(key) && !isIn) {
				t.Fatalf("key %d of %v minus %v: left %v", key, r, sorted, isLeft[key])
			}
		}
		if keyrange.OverlapsAny(sorted, r) != overlaps {
			t.Fatalf("%v overlaps any of %v: %v", r, sorted, !overlaps)
		}
	})
}
