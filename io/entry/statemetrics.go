package entry

import (
	"time"

	"redwingsill/core/snapshot"
)

// figuresInterval is the time between two readings of the figures that are not counted as they happen.
const stateMetricsInterval = 500 * time.Millisecond

// readFigures sets the figures that describe the host's state and, at the arbiter, that of its cell.
func (e *Entry) updateStateMetrics() {
	now := e.clock.Now()
	c := e.Group()
	if at := c.Member().HeartbeatAt(); !at.IsZero() {
		e.metrics.SetAge("arbiter", now.Sub(at))
	}
	e.metrics.SetPeerBytes(e.peers.TransferredBytes())
	a, isArbiter := c.Leader()
	if !isArbiter {
		return
	}
	if at := a.PlatformAnsweredAt(); !at.IsZero() {
		e.metrics.SetAge("platform", now.Sub(at))
	}
	if at := a.VerdictsReceivedAt(); !at.IsZero() {
		e.metrics.SetAge("monitor", now.Sub(at))
	}
	for service, ratio := range a.Imbalance(now) {
		e.metrics.SetLoadImbalance(service, ratio)
	}
	for service, units := range countUnservedSlots(e.snapshot.Read()) {
		e.metrics.RecordUnserved(service, units, stateMetricsInterval)
	}
}

// unserved counts the slots of each service at home here that have no owner or whose owner has no steward.
func countUnservedSlots(s *snapshot.Snapshot) map[string]int {
	counts := map[string]int{}
	for service, homes := range s.Configuration.Homes {
		counts[service] = 0
		for slot, home := range homes {
			if home != s.DataCentre {
				continue
			}
			server, _ := s.Assignment.OwnerOf(service, uint64(slot))
			if server == "" || s.View.LeaseHolders[server] == "" || s.View.Down[server] {
				counts[service]++
			}
		}
	}
	return counts
}
