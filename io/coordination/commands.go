package coordination

import (
	"context"
	"time"

	"redwingsill/core/command"
	"redwingsill/core/era"
	"redwingsill/core/keymap"
	"redwingsill/core/record"
	"redwingsill/core/transaction"
	"redwingsill/io/registry"
	"redwingsill/io/task"
)

// loadOwners reads the owners of a service's keys from the store.
func (c *Coordination) loadOwners(name string, service *shardedService) {
	c.startCall(func(ctx context.Context) func() {
		r, err := c.store.Get(ctx, registry.OwnersKey(name))
		if err == nil {
			keys, fence, decodeErr := ownersIn(r)
			if decodeErr == nil {
				return func() {
					if c.services[name] != service {
						return // dropped since, such as at a new era of the store
					}
					now := c.now()
					service.state = c.loadedState(keys, fence, registry.EraOf(r.Value), now).WithLease(c.tenure.leaseEnd)
					service.revision, service.isLoaded, service.isStoreReachableSinceKnown, service.members = r.Revision, true, false, nil
					service.writtenIn = era.Of(c.tenure.revision)
					c.log.Info("owners loaded", "Service", name, "Revision", r.Revision, "Holdings", len(keys.Holdings()), "Fence", fence,
						"InheritedFor", remaining(service.state.InheritedUntil(), now))
				}
			}
			err = decodeErr
		}
		c.log.Warn("owners not loaded", "Service", name, "Error", err)
		task.Sleep(ctx, loadRetryDelay)
		return func() {
			if c.services[name] == service {
				delete(c.services, name) // the next step loads them again
			}
		}
	})
}

// ownersIn returns the owners in the record of a service's key and the highest reserved fencing token, which is 0 if the key does not
// exist.
func ownersIn(r record.Record) (keymap.Map, int64, error) {
	if r.Revision == 0 {
		return keymap.New(), 0, nil
	}
	return registry.DecodeOwners(r.Value)
}

// resumeOwnership continues a service's state under a new lease of this host. It drops the state, so that the next step
// loads it again, if the owners can't be read or another host has written them since. Until that is known the state has no
// part in the new lease.
func (c *Coordination) resumeOwnership(name string, service *shardedService) {
	revision, tenureRevision := service.revision, c.tenure.revision
	service.state = service.state.WithNewTerm(c.now())
	service.isResuming, service.isStoreReachableSinceKnown = true, false
	c.startCall(func(ctx context.Context) func() {
		r, err := c.store.Get(ctx, registry.OwnersKey(name))
		return func() {
			if c.services[name] != service || c.tenure.revision != tenureRevision {
				return
			}
			service.isResuming = false
			// A write of the last term may have ended meanwhile. Its map may be older than the one that was read.
			if err != nil || r.Revision != revision || service.revision != revision {
				c.log.Info("ownership not resumed", "Service", name, "Revision", r.Revision, "Own", service.revision, "Error", err)
				delete(c.services, name)
				return
			}
			service.state = service.state.WithLease(c.tenure.leaseEnd)
			c.log.Info("ownership resumed", "Service", name, "Revision", revision, "InheritedFor", remaining(service.state.InheritedUntil(), c.now()))
		}
	})
}

// execute starts the calls for the commands of a step at now. Grants to one backend server are sent one after the other, so that they need
// only one connection.
func (c *Coordination) execute(name string, service *shardedService, commands []command.Command, now time.Time) {
	grants := map[string][]command.Grant{}
	for _, cmd := range commands {
		switch cmd := cmd.(type) {
		case command.Grant:
			grants[cmd.To.Incarnation()] = append(grants[cmd.To.Incarnation()], cmd)
		case command.Release:
			c.release(name, service, cmd)
		case command.Save:
			c.saveOwners(name, service, cmd)
		}
	}
	for _, serverGrants := range grants {
		c.grantAll(name, service, serverGrants, now)
	}
}

// grantAll sends the grants of a step at now to one backend server. All arrive within CallTimeout from now, since the
// coordinator counts their hold time from the end of that period, and its lease may end there. The clock is read before each
// call, since a timeout does not count the time for which the machine was suspended. After the first grant without a
// response the rest stay unsent.
func (c *Coordination) grantAll(name string, service *shardedService, grants []command.Grant, now time.Time) {
	deadline := now.Add(c.timing.CallTimeout)
	c.startCall(func(ctx context.Context) func() {
		ctx, cancel := context.WithTimeout(ctx, deadline.Sub(c.now()))
		defer cancel()
		answers, completions := make([]command.Answer, len(grants)), make([]command.Completion, len(grants))
		isUnreachable := false
		for i, g := range grants {
			answers[i].Result = command.Unsent
			if !isUnreachable && c.now().Before(deadline) {
				answers[i] = c.servers.Grant(ctx, g)
				isUnreachable = answers[i].Result == command.Lost || answers[i].Result == command.Unsent
			}
			completions[i] = command.Completion{ID: g.ID, Result: answers[i].Result, Proof: answers[i].Proof}
		}
		return func() {
			for i, g := range grants {
				if a := answers[i]; a.Result != command.Done {
					c.log.Info("grant", "Service", name, "Server", g.To.ID, "Range", g.Range.String(), "Fence", g.Fence, "Result", a.Result.String(),
						"Status", a.Status, "Answering", a.Server)
				}
			}
			service.completions = append(service.completions, completions...)
		}
	})
}

// release asks a backend server to give up a range of keys and waits until the work on them has ended, for at most as
// long as a grant may be in force.
func (c *Coordination) release(name string, service *shardedService, cmd command.Release) {
	c.startCall(func(ctx context.Context) func() {
		ctx, cancel := context.WithTimeout(ctx, c.timing.LongestHold())
		defer cancel()
		a := c.servers.Release(ctx, cmd)
		return func() {
			c.log.Info("release", "Service", name, "Server", cmd.From.ID, "Range", cmd.Range.String(), "Fence", cmd.Fence, "Result", a.Result.String(),
				"Status", a.Status, "Answering", a.Server)
			now := c.now()
			service.applyCompletions(now) // the grants that were answered before the release are no longer in flight
			service.state = service.state.WithReleaseResult(cmd.ID, a, now)
		}
	})
}

// saveOwners writes a service's owners, and retries until it is known whether they were written.
func (c *Coordination) saveOwners(name string, service *shardedService, cmd command.Save) {
	writeID := c.nextWriteID()
	revision, tenureRevision := service.revision, c.tenure.revision
	writtenIn := era.Of(tenureRevision)
	value, err := registry.EncodeOwners(cmd.Keys, cmd.ReservedFence, writeID, writtenIn)
	if err != nil {
		c.log.Error("owners not encoded", "Service", name, "Error", err)
		return
	}
	write := transaction.Transaction{}.WithExpected(registry.CoordinatorKey, tenureRevision).
		WithExpected(registry.OwnersKey(name), revision).WithPut(registry.OwnersKey(name), value, 0)
	c.startCall(func(ctx context.Context) func() {
		result, newRevision := c.write(ctx, registry.OwnersKey(name), writeID, write)
		return func() {
			// Also logged if the write failed: Result tells whether the owners were saved.
			c.log.Info("owners saved", "Service", name, "Result", result.String(), "Revision", newRevision, "Holdings", len(cmd.Keys.Holdings()))
			if result == command.Done && writtenIn == c.era {
				service.revision, service.writtenIn = newRevision, writtenIn
			}
			service.state = service.state.WithSaveResult(cmd, result, c.now())
		}
	})
}
