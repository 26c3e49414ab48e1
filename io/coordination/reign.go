package coordination

import (
	"context"
	"time"

	"redwingsill/core/kind"
	"redwingsill/core/transaction"
	"redwingsill/io/registry"
)

// reign is the lease that makes this host the coordinator.
type reign struct {
	isCoordinator bool
	lease         int64
	// revision is that of the coordinator's key, on which every write depends.
	revision int64
	until    time.Time
	// keptAt is when the lease was last renewed, and isKeeping that a renewal is under way.
	keptAt        time.Time
	isKeeping     bool
	isCampaigning bool
	// triedAt is when this host last tried to give the lease up.
	triedAt time.Time
}

// rule keeps the lease, or tries to get it where nobody has it.
func (c *Coordination) rule(now time.Time) {
	seen := c.registry.CoordinatorRevision()
	switch {
	case c.reign.isCoordinator && seen > c.reign.revision:
		c.depose(seen)
	case c.isResigning.Load():
		if c.reign.isCoordinator && now.Sub(c.reign.triedAt) >= resignPause {
			c.giveUp(now)
		}
	case c.reign.isCoordinator:
		if !c.reign.isKeeping && now.Sub(c.reign.keptAt) >= c.lease/keeps {
			c.keep(now)
		}
	case c.reign.isCampaigning || !c.registry.IsWhole() || c.directory.Read().Len() == 0:
	case seen != 0 && seen != c.reign.revision && c.directory.Read().Coordinator == c.name && c.reign.revision == 0:
		// The entry is that of this host's life before: no one else needs to wait for the end of its lease.
		if !now.Before(c.absentAt) {
			c.campaign(now, seen)
		}
	case seen != 0 && seen != c.reign.revision:
		c.absentAt = time.Time{}
		if c.peers.IsSilent(c.directory.Read().Coordinator) && c.turn() < checkers*turn && now.Sub(c.checkedAt) >= checkPause {
			c.check(now)
		}
	default:
		if c.absentAt.IsZero() {
			c.absentAt = now
		}
		if now.Sub(c.absentAt) >= c.turn() {
			c.campaign(now, 0)
		}
	}
}

// depose ends this host's time as the coordinator, since one of a higher revision is there.
func (c *Coordination) depose(by int64) {
	c.log.Warn("another host is the coordinator", "Revision", by, "Own", c.reign.revision)
	c.reign = reign{revision: c.reign.revision}
}

// check reads the entry of a coordinator that does not answer.
func (c *Coordination) check(now time.Time) {
	c.checkedAt = now
	c.run(func(ctx context.Context) func() {
		r, err := c.store.Get(ctx, registry.Coordinator)
		return func() {
			if err != nil {
				c.log.Info("silent coordinator not checked", "Error", err)
				return
			}
			c.registry.SetCoordinator(r)
		}
	})
}

// giveUp ends the lease.
func (c *Coordination) giveUp(now time.Time) {
	c.reign.triedAt = now
	lease := c.reign.lease
	c.run(func(ctx context.Context) func() {
		ctx, cancel := context.WithTimeout(ctx, resignTimeout)
		defer cancel()
		err := c.store.End(ctx, lease)
		return func() {
			if err != nil && !kind.Is(err, kind.NotFound) {
				c.log.Warn("lease not given up yet", "Error", err)
				return
			}
			c.log.Info("lease given up")
			c.reign = reign{revision: c.reign.revision}
			clear(c.services)
		}
	})
}

// turn returns how long this host lets others try first, so that not all try at the same time.
func (c *Coordination) turn() time.Duration {
	place := c.directory.Read().Rank(registry.Coordinator, c.name)
	if place < closeTurns {
		return time.Duration(place) * turn
	}
	return closeTurns*turn + time.Duration(place-closeTurns)*farTurn
}

// campaign tries to make this host the coordinator in place of the entry of a revision, or of none.
func (c *Coordination) campaign(now time.Time, instead int64) {
	c.reign.isCampaigning = true
	c.absentAt = now.Add(campaignPause)
	mark := c.nextMark()
	c.run(func(ctx context.Context) func() {
		began := c.now()
		lease, length, err := c.store.Lease(ctx, c.lease)
		if err != nil {
			return func() { c.lost("lease", err) }
		}
		value, err := registry.EncodeCoordinator(c.name, mark)
		if err != nil {
			return func() { c.lost("encode", err) }
		}
		revision, err := c.store.Commit(ctx, transaction.Transaction{}.WithExpected(registry.Coordinator, instead).
			WithPut(registry.Coordinator, value, lease))
		if err != nil && !kind.Is(err, kind.Conflict) {
			// The answer may be lost: what the key holds tells.
			if r, failed := c.store.Get(ctx, registry.Coordinator); failed == nil && registry.MarkOf(r.Value) == mark {
				revision, err = r.Revision, nil
			}
		}
		if err != nil {
			if failed := c.store.End(ctx, lease); failed != nil {
				c.log.Debug("unused lease not ended", "Error", failed) // it ends by itself
			}
			return func() { c.lost("commit", err) }
		}
		return func() { c.elected(lease, revision, began, length) }
	})
}

func (c *Coordination) lost(call string, err error) {
	c.reign.isCampaigning = false
	c.log.Info("not elected", "Call", call, "Error", err)
}

func (c *Coordination) elected(lease, revision int64, began time.Time, length time.Duration) {
	previous := c.reign.revision
	c.reign = reign{isCoordinator: true, lease: lease, revision: revision, until: began.Add(length), keptAt: began}
	c.log.Info("elected", "Revision", revision, "Previous", previous)
	for name, d := range c.services {
		if !d.isLoaded {
			delete(c.services, name)
			continue
		}
		c.resume(name, d)
	}
}

func (c *Coordination) keep(now time.Time) {
	c.reign.isKeeping, c.reign.keptAt = true, now
	lease := c.reign.lease
	c.run(func(ctx context.Context) func() {
		err := c.store.Keep(ctx, lease)
		return func() {
			if c.reign.lease != lease {
				return
			}
			c.reign.isKeeping = false
			switch {
			case err == nil:
				c.reign.until = now.Add(c.lease)
				for _, d := range c.services {
					d.state = d.state.WithLease(c.reign.until)
				}
			case kind.Is(err, kind.NotFound):
				c.log.Warn("lease has ended", "Error", err)
				c.reign = reign{revision: c.reign.revision}
				c.absentAt = time.Time{}
			default:
				c.log.Warn("lease not renewed", "Error", err, "Until", c.reign.until.Sub(c.now()))
			}
		}
	})
}
