package slotclient

import (
	"redwingsill/core/notification"
	"redwingsill/core/reachability"
)

// RequestReachability sends all other hosts the revision of the coordinator's key, and asks for their reachability
// records.
func (c *SlotClient) RequestReachability(coordinatorRevision int64) {
	c.updateCoordinatorRevision(coordinatorRevision)
	for _, h := range c.directory.Read().All() {
		if h.Name != c.name {
			c.send(h.Address, notification.ReachabilityRequested{CoordinatorRevision: coordinatorRevision})
		}
	}
}

// Reachabilities returns, by the names of the hosts, this host's reachability record and those that other hosts have sent
// recently.
func (c *SlotClient) Reachabilities() map[string]reachability.Reachability {
	now := c.now()
	all := map[string]reachability.Reachability{c.name: c.ownReachability().WithReportedAt(now)}
	for _, h := range c.directory.Read().All() {
		if report, ok := c.peerReachabilities.Load(h.Address); ok && h.Name != c.name {
			if r := report.(reachability.Reachability); now.Sub(r.ReportedAt) <= ReachabilityMaxAge {
				all[h.Name] = r
			}
		}
	}
	return all
}

// ownReachability returns this host's reachability record with the highest known revision of the coordinator's key.
func (c *SlotClient) ownReachability() reachability.Reachability {
	return c.reachability().WithCoordinatorRevision(c.coordinatorRevision.Load())
}

// CoordinatorRevision returns the highest revision of the coordinator's key that other hosts have announced.
func (c *SlotClient) CoordinatorRevision() int64 { return c.coordinatorRevision.Load() }

// updateCoordinatorRevision raises the highest known revision of the coordinator's key.
func (c *SlotClient) updateCoordinatorRevision(revision int64) {
	for {
		known := c.coordinatorRevision.Load()
		if revision <= known || c.coordinatorRevision.CompareAndSwap(known, revision) {
			return
		}
	}
}
