package timelyload_test

import (
	"math"
	"testing"
	"time"

	"redwingsill/core/timelyload"
)

// Guards against slow servers that own much while faster ones have room, and against shares that don't add up.
func TestLoads(t *testing.T) {
	slots, capacities := []int{3, 3, 3, 3}, []float64{1.07, 2.14, 2.14, 3.21} // half, mean and one and a half times the speed
	for _, utilisation := range []float64{0, 0.2, 0.6, 0.9, 1.5} {
		total := utilisation * 8.56
		loads := timelyload.New(160*time.Millisecond, 500*time.Millisecond).Loads(slots, capacities, total)
		if sum := loads[0] + loads[1] + loads[2] + loads[3]; math.Abs(sum-total) > 1e-6 {
			t.Errorf("at utilisation %v: the loads add up to %v instead of %v", utilisation, sum, total)
		}
		if loads[1] != loads[2] {
			t.Errorf("at utilisation %v: servers of the same speed have the loads %v and %v", utilisation, loads[1], loads[2])
		}
		if slow, fast := loads[0]/capacities[0], loads[3]/capacities[3]; utilisation > 0 && utilisation < 0.7 && slow > 0.6*fast {
			t.Errorf("at utilisation %v: the slow server's is %v, the fast one's %v", utilisation, slow, fast)
		}
	}
}
