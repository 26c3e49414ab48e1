package entry

import (
	"time"

	"redwingsill/core/snapshot"
)

// stateMetricsInterval is the interval at which the metrics that are sampled from the state are updated.
const stateMetricsInterval = 500 * time.Millisecond

// updateStateMetrics sets the metrics of the host's state and, on the leader, those of its group. In metrics the leader
// is named arbiter.
func (e *Entry) updateStateMetrics() {
	now := e.clock.Now()
	g := e.Group()
	if at := g.Member().HeartbeatAt(); !at.IsZero() {
		e.metrics.SetAge("arbiter", now.Sub(at))
	}
	e.metrics.SetPeerBytes(e.peers.TransferredBytes())
	leader, isLeader := g.Leader()
	if !isLeader {
		return
	}
	if at := leader.PlatformAnsweredAt(); !at.IsZero() {
		e.metrics.SetAge("platform", now.Sub(at))
	}
	if at := leader.VerdictsReceivedAt(); !at.IsZero() {
		e.metrics.SetAge("monitor", now.Sub(at))
	}
	for service, ratio := range leader.Imbalance(now) {
		e.metrics.SetLoadImbalance(service, ratio)
	}
	for service, hashSlots := range countUnservedHashSlots(e.snapshot.Read()) {
		e.metrics.RecordUnserved(service, hashSlots, stateMetricsInterval)
	}
}

// countUnservedHashSlots counts, for each service, the hash slots whose home is the data centre of this host and that are
// not served: they have no owner, or their owner has no lease holder or is down.
func countUnservedHashSlots(s *snapshot.Snapshot) map[string]int {
	counts := map[string]int{}
	for service, homes := range s.Configuration.Homes {
		counts[service] = 0
		for hashSlot, home := range homes {
			if home != s.DataCentre {
				continue
			}
			// A hash that equals the number of a hash slot belongs to it.
			server, _ := s.Assignment.OwnerOfHash(service, uint64(hashSlot))
			if server == "" || s.View.LeaseHolders[server] == "" || s.View.Down[server] {
				counts[service]++
			}
		}
	}
	return counts
}
