package coordination

import (
	"context"
	"time"

	"redwingsill/core/electorate"
	"redwingsill/core/kind"
	"redwingsill/io/registry"
)

// tenure is the state of this host's lease as the coordinator, and of its campaign for it.
type tenure struct {
	isCoordinator bool
	leaseID       int64
	// revision is the revision of the coordinator's key in this host's current or last tenure, or 0 if it had none. Every
	// write of owners is conditional on it.
	revision int64
	// leaseEnd is when the lease ends unless it is renewed. It is the zero time if this host has no lease.
	leaseEnd time.Time
	// renewedAt is when the last renewal began, and isRenewing is set while one is under way.
	renewedAt     time.Time
	isRenewing    bool
	isCampaigning bool
	// resignTriedAt is when this host last tried to revoke the lease.
	resignTriedAt time.Time
	// electedAt is when this host learned of its election.
	electedAt time.Time
	// electorate has the sets of hosts by whose reports this coordinator and earlier ones find the store unreachable. It is
	// written once its key has been read; electorateRevision is the key's last known revision.
	electorate          electorate.Electorate
	isElectorateRead    bool
	electorateRevision  int64
	electorateWrittenAt time.Time
}

// updateTenure renews this host's lease if it is the coordinator, or revokes the lease if the host is resigning. On
// other hosts it campaigns when there is no coordinator, and reads the coordinator's key when the coordinator does not
// respond.
func (c *Coordination) updateTenure(now time.Time) {
	currentRevision, replacedRevision := c.coordinatorRevision()
	switch {
	case c.tenure.isCoordinator && currentRevision > c.tenure.revision:
		c.stepDown(currentRevision)
	case c.isResigning.Load():
		if c.tenure.isCoordinator && now.Sub(c.tenure.resignTriedAt) >= resignRetryDelay {
			c.resign(now)
		}
	case c.tenure.isCoordinator:
		if !c.tenure.isRenewing && now.Sub(c.tenure.renewedAt) >= c.timing.LeaseDuration/renewalsPerLease {
			c.renewLease(now)
		}
	case c.tenure.isCampaigning || !c.registry.HasSynced() || c.directory.Read().Len() == 0:
		// A campaign is under way, or the hosts are not known yet.
	case currentRevision != 0 && currentRevision != c.tenure.revision && c.directory.Read().Coordinator == c.hostName && c.tenure.revision == 0:
		// This host's previous incarnation wrote the key, so this host need not wait until the lease of that incarnation
		// expires.
		if !now.Before(c.vacantSince) {
			c.campaign(now, currentRevision)
		}
	case currentRevision != 0 && currentRevision != c.tenure.revision && c.directory.Read().Coordinator == "":
		// The key has an unreadable value, and perhaps no lease. The coordinator that it belonged to may not know that yet, so this host
		// waits for the end of that coordinator's lease.
		if c.unreadableRevision != currentRevision {
			c.unreadableRevision, c.vacantSince = currentRevision, now
		}
		if now.Sub(c.vacantSince) >= c.timing.LeaseDuration+c.campaignDelay() {
			c.campaign(now, currentRevision)
		}
	case currentRevision != 0 && currentRevision != c.tenure.revision:
		// Another host is the coordinator.
		c.vacantSince = time.Time{}
		if c.peers.IsUnresponsive(c.directory.Read().Coordinator) && c.campaignDelay() < maxCheckers*campaignStagger && now.Sub(c.checkedAt) >= checkInterval {
			c.checkCoordinator(now)
		}
	default:
		// No coordinator is known: the key does not exist, or this host wrote it and has lost the lease.
		if c.vacantSince.IsZero() {
			c.vacantSince = now
		}
		if now.Sub(c.vacantSince) >= c.vacancyDelay() {
			c.campaign(now, replacedRevision)
		}
	}
}

// stepDown ends this host's tenure because a coordinator with a higher revision exists.
func (c *Coordination) stepDown(newRevision int64) {
	c.log.Warn("another host is the coordinator", "Revision", newRevision, "Own", c.tenure.revision)
	c.tenure = tenure{revision: c.tenure.revision}
}

// checkCoordinator reads the coordinator's key to learn whether a coordinator that does not respond still has its
// lease.
func (c *Coordination) checkCoordinator(now time.Time) {
	c.checkedAt = now
	c.startCall(func(ctx context.Context) func() {
		r, err := c.store.Get(ctx, registry.CoordinatorKey)
		return func() {
			if err != nil {
				c.log.Info("key of the unresponsive coordinator not read", "Error", err)
				return
			}
			c.registry.SetCoordinator(r)
		}
	})
}

// resign revokes the lease and drops the ownership of all services. Once the call is sent the lease may have ended, so it
// no longer counts unless the call had no effect.
func (c *Coordination) resign(now time.Time) {
	c.tenure.resignTriedAt = now
	leaseID, previousEnd := c.tenure.leaseID, c.tenure.leaseEnd
	if now.Before(previousEnd) {
		c.setLeaseEnd(now)
	}
	c.startCall(func(ctx context.Context) func() {
		ctx, cancel := context.WithTimeout(ctx, resignTimeout)
		defer cancel()
		err := c.store.RevokeLease(ctx, leaseID)
		return func() {
			if err != nil && !kind.Is(err, kind.NotFound) {
				c.log.Warn("lease not revoked yet", "Error", err)
				if kind.Is(err, kind.Unavailable) && c.tenure.leaseID == leaseID {
					c.setLeaseEnd(previousEnd)
				}
				return
			}
			c.log.Info("lease revoked")
			c.tenure = tenure{revision: c.tenure.revision}
			clear(c.services)
		}
	})
}

// setLeaseEnd sets the end of the lease, also for the services.
func (c *Coordination) setLeaseEnd(end time.Time) {
	c.tenure.leaseEnd = end
	for _, service := range c.services {
		if !service.isResuming {
			service.state = service.state.WithLease(end)
		}
	}
}

// renewLease extends the lease by LeaseDuration, which the store is assumed to have granted. The new end counts from
// before the call, so that it is never later than in the store.
func (c *Coordination) renewLease(now time.Time) {
	c.tenure.isRenewing, c.tenure.renewedAt = true, now
	leaseID := c.tenure.leaseID
	c.startCall(func(ctx context.Context) func() {
		err := c.store.RenewLease(ctx, leaseID)
		return func() {
			if c.tenure.leaseID != leaseID {
				return
			}
			c.tenure.isRenewing = false
			switch {
			case err == nil && !c.tenure.resignTriedAt.IsZero():
				// The lease may be revoked since.
			case err == nil:
				c.setLeaseEnd(now.Add(c.timing.LeaseDuration))
			case kind.Is(err, kind.NotFound):
				c.log.Warn("lease expired", "Error", err)
				c.tenure = tenure{revision: c.tenure.revision}
				c.vacantSince = time.Time{}
			default:
				c.log.Warn("lease not renewed", "Error", err, "Until", c.tenure.leaseEnd.Sub(c.now()))
			}
		}
	})
}
