package coordination

import (
	"context"
	"time"

	"redwingsill/core/electorate"
	"redwingsill/core/era"
	"redwingsill/core/keymap"
	"redwingsill/core/ownership"
	"redwingsill/core/record"
	"redwingsill/io/registry"
	"redwingsill/io/task"
)

// updateEra ends this host's tenure when the store has come back from an older copy: leases are gone, and revisions of the era before
// mean nothing. The state of a service stays if no other coordinator can have moved its keys in the era before.
func (c *Coordination) updateEra(now time.Time) {
	newest := c.store.Era()
	if newest <= c.era {
		return
	}
	previous := c.era
	c.era, c.eraHosts = newest, nil
	if c.registry.HasSynced() {
		c.eraHosts = c.hostNames()
	}
	known := c.registry.CoordinatorRevision()
	isReplaced := era.Of(known) == era.Of(c.tenure.revision) && known > c.tenure.revision
	kept := 0
	for name, service := range c.services {
		state, isKnown := service.state, false
		if service.isLoaded && (!service.isResuming || service.state.IsMapLost()) && !isReplaced {
			service.applyCompletions(now)
			state, isKnown = service.state.WithLostEra(now)
		}
		if !isKnown {
			delete(c.services, name)
			continue
		}
		service.state, service.isResuming, service.isStoreReachableSinceKnown = state, false, false
		kept++
	}
	c.tenure = tenure{revision: c.tenure.revision, isCampaigning: c.tenure.isCampaigning}
	c.vacantSince = now
	if kept == 0 && c.registry.HasSynced() {
		c.vacantSince = now.Add(newEraHeadStart)
	}
	if !c.registry.HasSynced() {
		c.log.Info("era of the store", "Era", int64(newest))
		return
	}
	c.log.Warn("store came back from an older copy", "Era", int64(newest), "Before", int64(previous), "ServicesKnown", kept)
}

// coordinatorRevision returns the revision of the coordinator's key, or 0 if there is no coordinator in the store's newest era. Then
// replaced is the revision of a key that the store has from a copy, or 0.
func (c *Coordination) coordinatorRevision() (current, replaced int64) {
	current = c.registry.CoordinatorRevision()
	switch {
	case current == 0 || c.era == 0:
		return current, 0
	case era.Of(current) < c.era:
		return 0, 0
	case c.registry.CoordinatorEra() < c.era:
		return 0, current
	}
	return current, 0
}

// vacancyDelay returns how long this host waits before it campaigns for a key that no coordinator has. A host that knows its grants of
// the era before does not wait.
func (c *Coordination) vacancyDelay() time.Duration {
	for _, service := range c.services {
		if service.isLoaded && service.state.IsMapLost() {
			return 0
		}
	}
	return c.campaignDelay()
}

// loadedState returns the state of a service whose owners were read after this host's election and were written in the given era.
func (c *Coordination) loadedState(keys keymap.Map, fence int64, writtenIn era.Era, now time.Time) ownership.Ownership {
	current := era.Of(c.tenure.revision)
	if writtenIn == current {
		return ownership.New(c.timing, keys, fence, now)
	}
	return ownership.NewFromOlderMap(c.timing, keys, current.RaisedFence(fence, writtenIn), now)
}

// rewriteOwnership continues a service's state from the era before under a new lease. The map in the store is replaced by the state's,
// unless another coordinator has written it in this era. Until that is known the state has no part in the new lease.
func (c *Coordination) rewriteOwnership(name string, service *shardedService) {
	tenureRevision := c.tenure.revision
	service.isResuming = true
	c.startCall(func(ctx context.Context) func() {
		r, err := c.store.Get(ctx, registry.OwnersKey(name))
		if err != nil {
			task.Sleep(ctx, loadRetryDelay)
		}
		return func() {
			now, current := c.now(), era.Of(tenureRevision)
			switch {
			case c.services[name] != service || c.tenure.revision != tenureRevision:
				return
			case !service.state.IsActing(now) || err == nil && (era.Of(r.Revision) > current || registry.EraOf(r.Value) >= current):
				c.log.Info("ownership not resumed", "Service", name, "Revision", r.Revision, "Own", service.revision, "Error", err)
				delete(c.services, name)
				return
			case err != nil:
				c.rewriteOwnership(name, service)
				return
			}
			service.isResuming = false
			service.state = service.state.WithNewEra(current.RaisedFence(0, service.writtenIn), now).WithLease(c.tenure.leaseEnd)
			service.revision, service.writtenIn, service.isStoreReachableSinceKnown = r.Revision, current, false
			c.log.Info("ownership resumed", "Service", name, "Revision", r.Revision, "InheritedFor", remaining(service.state.InheritedUntil(), now))
		}
	})
}

// withOlderSets returns the electorate with the stored sets of an earlier era, which may not be the last ones. The hosts that this host
// knew when it learned of the era, or knows now, stand for those that the store has lost.
func (c *Coordination) withOlderSets(e electorate.Electorate, stored record.Record) electorate.Electorate {
	known := c.eraHosts
	if len(known) == 0 {
		known = c.hostNames()
	}
	sets, err := registry.DecodeElectorate(stored.Value)
	if err != nil {
		c.log.Info("no earlier electorate in the store", "Revision", stored.Revision, "Error", err)
	}
	return e.WithOlder(sets, known)
}
