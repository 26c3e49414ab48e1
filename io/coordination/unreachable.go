package coordination

import (
	"time"

	"redwingsill/core/reachability"
)

// checkStoreReachability asks all hosts for their reachability records in two cases: while less than half of this
// host's lease remains, to learn whether the store is unreachable for at least two thirds of the hosts, and while
// grants of an earlier coordinator may still be in force, to learn since when the store has been reachable without
// interruption.
func (c *Coordination) checkStoreReachability(now time.Time) {
	isLeaseExpiring := c.tenure.isCoordinator && c.tenure.leaseEnd.Sub(now) < c.timing.LeaseDuration/2
	isInheriting := false
	for _, service := range c.services {
		isInheriting = isInheriting || service.isLoaded && !service.isStoreReachableSinceKnown && service.state.HasInheritedGrants(now)
	}
	if !isLeaseExpiring && !isInheriting {
		c.isStoreUnreachable = false
		return
	}
	if c.tenure.revision == 0 {
		return // this host has never been elected
	}
	if now.Sub(c.reachabilityRequestedAt) >= reachabilityInterval {
		c.reachabilityRequestedAt = now
		c.peers.RequestReachability(c.tenure.revision)
	}
	records, hostCount := c.peers.Reachabilities(), c.directory.Read().Len()
	for _, r := range records {
		if r.CoordinatorRevision > c.tenure.revision {
			c.stepDown(r.CoordinatorRevision)
			clear(c.services)
			return
		}
	}
	wasUnreachable := c.isStoreUnreachable
	c.isStoreUnreachable = isLeaseExpiring && reachability.IsStoreUnreachable(records, hostCount, c.tenure.revision, now)
	if c.isStoreUnreachable != wasUnreachable {
		// "away" means unreachable, and "nearly all" at least two thirds. IsAway is the new state, and Told the number
		// of records.
		c.log.Info("store away for nearly all hosts", "IsAway", c.isStoreUnreachable, "Told", len(records), "Hosts", hostCount)
	}
	since, isKnown := reachability.StoreReachableSince(records, hostCount, c.tenure.revision, now)
	for name, service := range c.services {
		if !service.isLoaded {
			continue
		}
		if c.isStoreUnreachable {
			service.state = service.state.WithStoreUnreachable(now)
		}
		if isKnown && !service.isStoreReachableSinceKnown {
			service.isStoreReachableSinceKnown = true
			service.state = service.state.WithStoreReachableSince(since)
			// During For, no earlier coordinator can have found the store unreachable.
			c.log.Info("store not away before", "Service", name, "For", now.Sub(since), "Told", len(records), "Hosts", hostCount,
				"InheritedFor", remaining(service.state.InheritedUntil(), now))
		}
	}
}
