package leader

import "time"

// Imbalance returns, for each service, the ratio of the request rate at its busiest usable backend server to the mean
// rate of its usable servers.
func (l Leader) Imbalance(now time.Time) map[string]float64 {
	highest, total, serverCount := map[string]float64{}, map[string]float64{}, map[string]float64{}
	usable := l.usableServers(now)
	for _, s := range l.servers() {
		if usable[s.Name] {
			serverCount[s.Service]++
		}
	}
	for _, r := range l.requestRates(now) {
		// A rate with a key hash is that of one key and is part of the total of its server.
		if r.KeyHash == 0 && usable[r.Server] {
			highest[r.Service] = max(highest[r.Service], r.Rate)
			total[r.Service] += r.Rate
		}
	}
	ratios := map[string]float64{}
	for service, sum := range total {
		ratios[service] = highest[service] / (sum / serverCount[service])
	}
	return ratios
}

// PlatformAnsweredAt returns when the platform last answered this leader, or the zero time if it has not.
func (l Leader) PlatformAnsweredAt() time.Time { return l.platformAnsweredAt }

// VerdictsReceivedAt returns when this leader last received the verdicts of the monitoring system, or the zero time.
func (l Leader) VerdictsReceivedAt() time.Time { return l.verdictsReceivedAt }
