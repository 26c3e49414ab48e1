package coordination

import (
	"testing"
	"time"
)

func TestLeaseCountsForNoLongerThanTheNextCoordinatorReckonsWith(t *testing.T) {
	for _, c := range []struct{ granted, want time.Duration }{
		{time.Second, time.Second},
		{testTiming.LeaseDuration, testTiming.LeaseDuration},
		{time.Minute, testTiming.LeaseDuration},
	} {
		h := newHarness(t)
		h.startTenure(1, 1, testStart, c.granted)
		if got := h.tenure.leaseEnd.Sub(testStart); got != c.want {
			t.Errorf("a lease of %v counts for %v, want %v", c.granted, got, c.want)
		}
	}
}
