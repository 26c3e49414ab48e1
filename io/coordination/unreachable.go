package coordination

import (
	"time"

	"redwingsill/core/era"
)

// checkStoreReachability asks all hosts for their reachability records in two cases: while less than half of this
// host's lease remains, to learn whether the store is unreachable for at least two thirds of its electorate, and while
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
	if c.tenure.revision == 0 || era.Of(c.tenure.revision) != c.era {
		c.isStoreUnreachable = false
		return // this host has never been elected, or not in this era
	}
	if now.Sub(c.reachabilityRequestedAt) >= reachabilityInterval {
		c.reachabilityRequestedAt = now
		c.peers.RequestReachability(c.tenure.revision)
	}
	records, electorate := c.peers.Reachabilities(), c.tenure.electorate
	for _, r := range records {
		if told := era.Of(r.CoordinatorRevision); told > c.era {
			c.store.ObserveEra(told)
			c.updateEra(now)
			return
		}
		if r.CoordinatorRevision > c.tenure.revision {
			c.stepDown(r.CoordinatorRevision)
			clear(c.services)
			return
		}
	}
	wasUnreachable := c.isStoreUnreachable
	c.isStoreUnreachable = isLeaseExpiring && electorate.IsStoreUnreachable(records)
	if c.isStoreUnreachable != wasUnreachable {
		// "away" means unreachable, and "nearly all" at least two thirds. IsAway is the new state, and Told the number
		// of records.
		c.log.Info("store away for nearly all hosts", "IsAway", c.isStoreUnreachable, "Told", len(records), "Hosts", electorate.Size())
	}
	if c.isStoreUnreachable {
		c.storeUnreachableAt = now
	}
	since, isKnown := electorate.StoreReachableSince(records)
	if c.storeUnreachableAt.After(since) {
		since = c.storeUnreachableAt // owners that are read again may hold long grants of this host
	}
	for name, service := range c.services {
		if !service.isLoaded {
			continue
		}
		if c.isStoreUnreachable {
			service.state = service.state.WithStoreUnreachable(now)
		}
		if isKnown && !service.isStoreReachableSinceKnown && service.state.HasInheritedGrants(now) {
			service.isStoreReachableSinceKnown = true
			service.state = service.state.WithStoreReachableSince(since)
			// During For, no earlier coordinator can have found the store unreachable.
			c.log.Info("store not away before", "Service", name, "For", -remaining(since, now), "Told", len(records), "Hosts", electorate.EarlierSize(),
				"InheritedFor", remaining(service.state.InheritedUntil(), now))
		}
	}
}
