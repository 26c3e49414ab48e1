package coordination

import (
	"context"
	"time"

	"redwingsill/core/command"
	"redwingsill/core/era"
	"redwingsill/core/transaction"
	"redwingsill/io/registry"
	"redwingsill/io/task"
)

// loadElectorate reads the sets of hosts of earlier coordinators. Each of their writes is conditional on the coordinator's
// key, so after this host's election none of them can take effect any more.
func (c *Coordination) loadElectorate() {
	revision := c.tenure.revision
	c.startCall(func(ctx context.Context) func() {
		r, err := c.store.Get(ctx, registry.ElectorateKey)
		if err != nil {
			task.Sleep(ctx, loadRetryDelay)
		}
		return func() {
			switch {
			case !c.tenure.isCoordinator || c.tenure.revision != revision:
				return
			case err != nil:
				c.log.Info("electorate not loaded", "Error", err)
				c.loadElectorate()
				return
			}
			c.tenure.isElectorateRead, c.tenure.electorateRevision = true, r.Revision
			if e := era.Of(revision); e > 0 && registry.EraOf(r.Value) != e {
				c.tenure.electorate = c.withOlderSets(c.tenure.electorate, r)
				return
			}
			if r.Revision == 0 {
				return
			}
			sets, err := registry.DecodeElectorate(r.Value)
			if err != nil {
				c.log.Warn("invalid entry of the electorate", "Revision", r.Revision, "Error", err)
				return
			}
			c.tenure.electorate = c.tenure.electorate.WithEarlier(sets)
		}
	})
}

// updateElectorate writes the set of hosts by whose reports this coordinator finds the store unreachable: after its
// election, and when the hosts have changed. If the sets of earlier coordinators are not known, nothing is written while
// grants of theirs may be in force, so that the next coordinator does not know the sets either.
func (c *Coordination) updateElectorate(now time.Time) {
	if !c.tenure.isCoordinator || !c.tenure.isElectorateRead {
		return
	}
	e := c.tenure.electorate
	mayEarlierAct := now.Before(c.tenure.electedAt.Add(c.timing.LongestInheritance()))
	if c.hasNoInheritedGrants(now) && (!mayEarlierAct || !e.IsEarlierKnown()) {
		e = e.WithEarlier(nil)
	}
	c.tenure.electorate = e
	hosts := c.hostNames()
	if !e.NeedsWrite(hosts) || now.Sub(c.tenure.electorateWrittenAt) < electorateInterval {
		return
	}
	writeID, revision := c.nextWriteID(), c.tenure.revision
	value, err := registry.EncodeElectorate(hosts, e.EarlierBeside(hosts), writeID, era.Of(revision))
	if err != nil {
		c.log.Error("electorate not encoded", "Error", err)
		return
	}
	c.tenure.electorate, c.tenure.electorateWrittenAt = e.WithWrite(hosts), now
	t := transaction.Transaction{}.WithExpected(registry.CoordinatorKey, revision).
		WithExpected(registry.ElectorateKey, c.tenure.electorateRevision).WithPut(registry.ElectorateKey, value, 0)
	c.startCall(func(ctx context.Context) func() {
		result, newRevision := c.write(ctx, registry.ElectorateKey, writeID, t)
		return func() {
			c.log.Info("electorate saved", "Result", result.String(), "Revision", newRevision, "Hosts", len(hosts), "Earlier", len(e.Earlier()))
			if c.tenure.revision != revision || result != command.Done {
				return
			}
			c.tenure.electorateRevision = newRevision
			c.tenure.electorate = c.tenure.electorate.WithWritten()
		}
	})
}

// hasNoInheritedGrants reports whether all sharded services are loaded and no grants of earlier coordinators may be in force
// for them.
func (c *Coordination) hasNoInheritedGrants(now time.Time) bool {
	routes := c.routing.Read()
	for name, s := range routes.Services {
		service, ok := c.services[name]
		if s.IsSharded && (!ok || !service.isLoaded || service.state.HasInheritedGrants(now)) {
			return false
		}
	}
	return routes.IsLoaded()
}

// hostNames returns the names of the known entry hosts.
func (c *Coordination) hostNames() []string {
	all := c.directory.Read().All()
	names := make([]string, 0, len(all))
	for _, h := range all {
		names = append(names, h.Name)
	}
	return names
}
