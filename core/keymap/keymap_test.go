package keymap_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"redwingsill/core/holding"
	"redwingsill/core/keymap"
	"redwingsill/core/keyrange"
)

// TestMapMatchesArray compares the map with an array that holds the owner of each key.
func TestMapMatchesArray(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := keymap.New()
		var owners [keyrange.MaxKey + 1]string
		for fence := range rapid.IntRange(1, 30).Draw(t, "holdings") {
			from := rapid.IntRange(0, keyrange.MaxKey).Draw(t, "from")
			r := keyrange.Range{From: from, To: rapid.IntRange(from, keyrange.MaxKey).Draw(t, "to")}
			owner := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "owner")
			m = m.With(holding.Holding{Range: r, Owner: owner, Fence: int64(fence)})
			for key := r.From; key <= r.To; key++ {
				owners[key] = owner
			}
		}
		last := -1
		for _, h := range m.Holdings() {
			if h.Range.From <= last {
				t.Fatalf("holdings overlap: %v", m.Holdings())
			}
			last = h.Range.To
		}
		keyCounts := map[string]int{}
		unownedKeys := 0
		for key, owner := range owners {
			h, ok := m.HoldingOf(key)
			if ok != (owner != "") || h.Owner != owner {
				t.Fatalf("key %d is owned by %q, want %q", key, h.Owner, owner)
			}
			keyCounts[owner]++
			if owner == "" {
				unownedKeys++
			}
		}
		for _, owner := range []string{"a", "b", "c"} {
			if m.KeyCount(owner) != keyCounts[owner] {
				t.Fatalf("%s has %d keys, want %d", owner, m.KeyCount(owner), keyCounts[owner])
			}
		}
		for _, g := range m.Gaps() {
			unownedKeys -= g.Width()
		}
		if unownedKeys != 0 {
			t.Fatalf("gaps differ from the keys without an owner by %d keys: %v", unownedKeys, m.Gaps())
		}
	})
}

// A plan adds all moves in progress to the map at once. The result must be that of adding them one by one.
func TestWithAllMatchesWith(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string, fence int64) []holding.Holding {
			var all []holding.Holding
			for from := rapid.IntRange(0, 20).Draw(t, name); from < 100; {
				r := keyrange.Range{From: from, To: from + rapid.IntRange(0, 15).Draw(t, name)}
				all = append(all, holding.Holding{Range: r, Owner: rapid.SampledFrom([]string{"a", "b"}).Draw(t, name), Fence: fence + rapid.Int64Range(0, 1).Draw(t, name)})
				from = r.To + 1 + rapid.IntRange(0, 8).Draw(t, name)
			}
			return all
		}
		m := keymap.New(draw("old", 1)...)
		added := draw("added", 2)
		want := m
		for _, h := range added {
			want = want.With(h)
		}
		slices.Reverse(added)
		if got := m.WithAll(added); !slices.Equal(got.Holdings(), want.Holdings()) {
			t.Fatalf("%v with %v is %v, want %v", m.Holdings(), added, got.Holdings(), want.Holdings())
		}
	})
}

func TestNewResolvesOverlapsByHigherFencingToken(t *testing.T) {
	m := keymap.New(
		holding.Holding{Range: keyrange.Range{From: 0, To: 9}, Owner: "new", Fence: 2},
		holding.Holding{Range: keyrange.Range{From: 0, To: 99}, Owner: "old", Fence: 1},
	)
	for key, owner := range map[int]string{0: "new", 9: "new", 10: "old", 99: "old"} {
		if h, _ := m.HoldingOf(key); h.Owner != owner {
			t.Errorf("key %d is owned by %s, want %s", key, h.Owner, owner)
		}
	}
}
