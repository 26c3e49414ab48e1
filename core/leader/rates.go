package leader

import "time"

// Imbalance returns for each service the rate of its busiest backend server to the mean of those that are usable.
func (a Leader) Imbalance(now time.Time) map[string]float64 {
	most, total, count := map[string]float64{}, map[string]float64{}, map[string]float64{}
	usable := a.usable(now)
	for _, s := range a.servers() {
		if usable[s.Name] {
			count[s.Service]++
		}
	}
	for _, h := range a.heats(now) {
		if h.KeyHash == 0 && usable[h.Server] {
			most[h.Service] = max(most[h.Service], h.Rate)
			total[h.Service] += h.Rate
		}
	}
	ratios := map[string]float64{}
	for service, sum := range total {
		ratios[service] = most[service] / (sum / count[service])
	}
	return ratios
}

// PlatformAt returns when the platform last answered the arbiter.
func (a Leader) PlatformAt() time.Time { return a.platformAt }

// VerdictsAt returns when the monitoring group's verdicts last came.
func (a Leader) VerdictsAt() time.Time { return a.verdictsAt }
