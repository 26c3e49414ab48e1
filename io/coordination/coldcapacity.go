package coordination

import (
	"time"

	"redwingsill/core/backendservice"
	"redwingsill/core/instance"
)

// returnSteps is the number of steps in which a server gets its share of the keys back after its warm-up. They take as long as the
// warm-up, so that the moves of one step end before the next.
const returnSteps = 4

// withColdCapacities lowers the capacities of cold servers to what the rate of their requests allows, if the service bounds it. After
// the warm-up they rise again in steps. It changes the map in place.
func withColdCapacities(all map[string]float64, members []instance.Instance, s backendservice.BackendService, meanServiceTime time.Duration, now time.Time) {
	if s.WarmUpRate <= 0 {
		return
	}
	for _, m := range members {
		warmFor := now.Sub(m.WarmUpEnd)
		if m.WarmUpEnd.IsZero() || warmFor >= s.WarmUpTime && warmFor >= 0 {
			continue
		}
		full := all[m.Incarnation()]
		cold := min(full, m.ColdRate*meanServiceTime.Seconds())
		share := 0.0
		if warmFor >= 0 {
			share = float64(int64(warmFor)*returnSteps/int64(s.WarmUpTime)+1) / returnSteps
		}
		all[m.Incarnation()] = cold + (full-cold)*share
	}
}
