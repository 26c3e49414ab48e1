package ownership_test

import (
	"testing"
	"time"
)

func sum(all []float64) float64 {
	total := 0.0
	for _, v := range all {
		total += v
	}
	return total
}

// Guards against keys that stay with cold servers beyond what their rate allows when a whole data centre turns cold, and against
// servers that get nothing back after the warm-up.
func TestKeysBeyondTheRateLeaveADataCentreThatTurnsCold(t *testing.T) {
	r := newEvacuationRun()
	r.coldRate = 4.5
	before := sum(r.loadOf("zone-1"))
	r.turnCold("zone-1", 3*time.Second)
	r.runFor(2 * time.Second)
	after := r.loadOf("zone-1")
	t.Logf("%.0f requests a second before, %.0f after 2 s; the rate of all servers is %.0f", before, sum(after), 44*r.coldRate)
	if sum(after) > 44*r.coldRate*1.1 {
		t.Errorf("%.0f requests a second are left, want about %.0f", sum(after), 44*r.coldRate)
	}
	r.runFor(10 * time.Second)
	if back := sum(r.loadOf("zone-1")); back < sum(after)*0.9 {
		t.Errorf("%.0f requests a second after the warm-up, %.0f during it", back, sum(after))
	}
}

// Guards against keys of an evacuated data centre that move to servers that are cold, beyond what these can take.
func TestAnEvacuationSparesColdServers(t *testing.T) {
	r := newEvacuationRun()
	r.coldRate = 4.5
	r.turnCold("zone-2", 4*time.Second)
	r.runFor(200 * time.Millisecond)
	r.evacuate("zone-1", 3*time.Second)
	r.runFor(3 * time.Second)
	cold, warm := sum(r.loadOf("zone-2")), sum(r.loadOf("zone-0"))
	t.Logf("%.0f requests a second in the cold data centre, %.0f in a warm one", cold, warm)
	if r.keysOf("zone-1") > 0 {
		t.Errorf("%d keys are left", r.keysOf("zone-1"))
	}
	if cold > 44*r.coldRate*1.1 {
		t.Errorf("%.0f requests a second go to the cold data centre, want at most about %.0f", cold, 44*r.coldRate)
	}
}
