package keymap_test

import (
	"fmt"

	"redwingsill/core/holding"
	"redwingsill/core/keymap"
	"redwingsill/core/keyrange"
)

// Assigns a part of one owner's keys to another.
func ExampleMap_With() {
	m := keymap.New(holding.Holding{Range: keyrange.All(), Owner: "first", Fence: 1})
	m = m.With(holding.Holding{Range: keyrange.Range{From: 100, To: 199}, Owner: "second", Fence: 2})
	for _, h := range m.Holdings() {
		fmt.Println(h.Range, h.Owner)
	}
	// Output:
	// 0-99 first
	// 100-199 second
	// 200-65535 first
}
