package weightedcut_test

import (
	"slices"
	"testing"

	"redwingsill/core/keyrange"
	"redwingsill/core/weightedcut"
)

// Guards against parts that overload their target, and against moves of keys that no target can take.
func TestParts(t *testing.T) {
	in := keyrange.Range{From: 0, To: 999}
	for _, c := range []struct {
		name       string
		capacities []float64
		keys       []int
		loads      []float64
		kept       []int
		limit      int
		want       []weightedcut.Part
	}{
		{"fills targets to the level", []float64{2, 2}, []int{10, 11, 12, 13}, []float64{0.6, 0.6, 0.6, 0.6}, nil, 8,
			[]weightedcut.Part{{Range: keyrange.Range{From: 10, To: 11}, Load: 1.2, Target: 0}, {Range: keyrange.Range{From: 12, To: 13}, Load: 1.2, Target: 1}}},
		{"leaves kept keys", []float64{2, 2}, []int{10, 11, 12}, []float64{0.6, 0.6, 0.6}, []int{11}, 8,
			[]weightedcut.Part{{Range: keyrange.Range{From: 10, To: 10}, Load: 0.6, Target: 0}, {Range: keyrange.Range{From: 12, To: 12}, Load: 0.6, Target: 1}}},
		{"leaves a key that exceeds each target", []float64{2, 3}, []int{10}, []float64{3}, nil, 8, nil},
		{"takes the idle keys before the next part along", []float64{1, 1}, []int{10, 20}, []float64{0.6, 0.6}, nil, 8,
			[]weightedcut.Part{{Range: keyrange.Range{From: 10, To: 19}, Load: 0.6, Target: 0}, {Range: keyrange.Range{From: 20, To: 20}, Load: 0.6, Target: 1}}},
		{"gives no part to a target without capacity", []float64{0, 1}, []int{10}, []float64{0.5}, nil, 8,
			[]weightedcut.Part{{Range: keyrange.Range{From: 10, To: 10}, Load: 0.5, Target: 1}}},
		{"stops at the limit", []float64{1, 1}, []int{10, 11}, []float64{0.6, 0.6}, nil, 1,
			[]weightedcut.Part{{Range: keyrange.Range{From: 10, To: 10}, Load: 0.6, Target: 0}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			cut := weightedcut.New(c.capacities, make([]float64, len(c.capacities)), 0.7)
			got := cut.Parts(in, c.keys, c.loads, func(key int) bool { return slices.Contains(c.kept, key) }, 100, 10, c.limit)
			if !slices.Equal(got, c.want) {
				t.Errorf("parts %v, want %v", got, c.want)
			}
		})
	}
}
