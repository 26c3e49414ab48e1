package leader

import "time"

// Imbalance returns for each service the rate of its busiest backend server to the mean of those that are usable.
func (l Leader) Imbalance(now time.Time) map[string]float64 {
	highest, total, serverCount := map[string]float64{}, map[string]float64{}, map[string]float64{}
	usable := l.usableServers(now)
	for _, s := range l.servers() {
		if usable[s.Name] {
			serverCount[s.Service]++
		}
	}
	for _, h := range l.requestRates(now) {
		if h.KeyHash == 0 && usable[h.Server] {
			highest[h.Service] = max(highest[h.Service], h.Rate)
			total[h.Service] += h.Rate
		}
	}
	ratios := map[string]float64{}
	for service, sum := range total {
		ratios[service] = highest[service] / (sum / serverCount[service])
	}
	return ratios
}

// PlatformAt returns when the platform last answered the arbiter.
func (l Leader) PlatformAnsweredAt() time.Time { return l.platformAnsweredAt }

// VerdictsAt returns when the monitoring group's verdicts last came.
func (l Leader) VerdictsReceivedAt() time.Time { return l.verdictsReceivedAt }
