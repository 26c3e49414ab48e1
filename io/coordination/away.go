package coordination

import (
	"time"

	"redwingsill/core/reachability"
)

// lookAway finds out, with the other hosts, whether the store is away for nearly all of them while this host's lease runs
// out, and since when it can't have been away while an earlier coordinator's grants may hold.
func (c *Coordination) lookAway(now time.Time) {
	isFailing := c.reign.isCoordinator && c.reign.until.Sub(now) < c.lease/2
	isInheriting := false
	for _, d := range c.services {
		isInheriting = isInheriting || d.isLoaded && !d.isSound && d.state.HasInheritedGrants(now)
	}
	if !isFailing && !isInheriting {
		c.isAway = false
		return
	}
	if c.reign.revision == 0 {
		return // the lease was lost before anything was decided
	}
	if now.Sub(c.contactsAt) >= contactsEvery {
		c.contactsAt = now
		c.peers.AskContacts(c.reign.revision)
	}
	contacts, hosts := c.peers.Contacts(), c.directory.Read().Len()
	for _, each := range contacts {
		if each.CoordinatorRevision > c.reign.revision {
			c.depose(each.CoordinatorRevision)
			clear(c.services)
			return
		}
	}
	wasAway := c.isAway
	c.isAway = isFailing && reachability.IsStoreUnreachable(contacts, hosts, c.reign.revision, now)
	if c.isAway != wasAway {
		c.log.Info("store away for nearly all hosts", "IsAway", c.isAway, "Told", len(contacts), "Hosts", hosts)
	}
	since, isSound := reachability.StoreReachableSince(contacts, hosts, c.reign.revision, now)
	for name, d := range c.services {
		if !d.isLoaded {
			continue
		}
		if c.isAway {
			d.state = d.state.WithStoreUnreachable(now)
		}
		if isSound && !d.isSound {
			d.isSound = true
			d.state = d.state.WithStoreReachableSince(since)
			c.log.Info("store not away before", "Service", name, "For", now.Sub(since), "Told", len(contacts), "Hosts", hosts)
		}
	}
}
