package coordination

import (
	"testing"
	"time"

	"redwingsill/core/backendservice"
	"redwingsill/core/instance"
)

// Guards against a cold server that counts with all of its slots, one that gets all keys back at once, and a change for services that
// bound no rate.
func TestCapacityOfAColdServerFollowsItsRateAndReturnsInSteps(t *testing.T) {
	now := time.Unix(1000, 0)
	limited := backendservice.BackendService{WarmUpTime: 4 * time.Second, WarmUpRate: 5}
	for name, c := range map[string]struct {
		warmFor time.Duration
		service backendservice.BackendService
		want    float64
	}{
		"cold":              {-time.Second, limited, 1},
		"first step":        {500 * time.Millisecond, limited, 1.5},
		"third step":        {2500 * time.Millisecond, limited, 2.5},
		"warm":              {4 * time.Second, limited, 3},
		"no rate is bound":  {-time.Second, backendservice.BackendService{WarmUpTime: 4 * time.Second}, 3},
		"no time is known":  {time.Second, backendservice.BackendService{WarmUpRate: 5}, 3},
		"cold without time": {-time.Second, backendservice.BackendService{WarmUpRate: 5}, 1},
	} {
		m := instance.Instance{ID: "a", Slots: 3}.WithColdRate(5).WithWarmUpEnd(now.Add(-c.warmFor))
		all := map[string]float64{m.Incarnation(): 3}
		withColdCapacities(all, []instance.Instance{m}, c.service, 200*time.Millisecond, now)
		if got := all[m.Incarnation()]; got != c.want {
			t.Errorf("%s: capacity %v, want %v", name, got, c.want)
		}
	}
}
