package coordination

import (
	"context"

	"redwingsill/core/command"
	"redwingsill/core/kind"
	"redwingsill/core/ownership"
	"redwingsill/core/transaction"
	"redwingsill/io/registry"
	"redwingsill/io/task"
)

// load reads the durable owners of a service.
func (c *Coordination) load(name string, d *divided) {
	c.run(func(ctx context.Context) func() {
		r, err := c.store.Get(ctx, registry.OwnersKey(name))
		if err == nil {
			keys, fence, bad := registry.DecodeOwners(r.Value)
			if bad == nil {
				return func() {
					now := c.now()
					d.state = ownership.New(c.terms, keys, fence, now).WithLease(c.reign.until)
					d.revision, d.isLoaded, d.isSound, d.members = r.Revision, true, false, nil
					c.log.Info("owners loaded", "Service", name, "Revision", r.Revision, "Holdings", len(keys.Holdings()), "Fence", fence)
				}
			}
			err = bad
		}
		c.log.Warn("owners not loaded", "Service", name, "Error", err)
		return func() {
			if c.services[name] == d {
				delete(c.services, name) // the next step tries again
			}
		}
	})
}

// resume goes on with a service's state under a new lease of this host, if no other host has written since.
func (c *Coordination) resume(name string, d *divided) {
	revision := d.revision
	c.run(func(ctx context.Context) func() {
		r, err := c.store.Get(ctx, registry.OwnersKey(name))
		return func() {
			if c.services[name] != d || d.revision != revision {
				return
			}
			if err != nil || r.Revision != revision {
				delete(c.services, name)
				return
			}
			d.state = d.state.WithLease(c.reign.until)
		}
	})
}

// carryOut makes the calls for orders. Grants to one backend server go one after the other, so that they need one
// connection.
func (c *Coordination) carryOut(name string, d *divided, orders []command.Command) {
	grants := map[string][]command.Grant{}
	for _, o := range orders {
		switch o := o.(type) {
		case command.Grant:
			grants[o.To.Incarnation()] = append(grants[o.To.Incarnation()], o)
		case command.Release:
			c.release(name, d, o)
		case command.Save:
			c.save(name, d, o)
		}
	}
	for _, ofServer := range grants {
		c.grant(name, d, ofServer)
	}
}

// grant makes the grants of one backend server. All are sent within the time of one call, from which the coordinator
// counts how long they may hold.
func (c *Coordination) grant(name string, d *divided, grants []command.Grant) {
	until := c.now().Add(c.terms.CallTimeout)
	c.run(func(ctx context.Context) func() {
		ctx, cancel := context.WithTimeout(ctx, until.Sub(c.now()))
		defer cancel()
		ends := make([]command.Completion, len(grants))
		isDown := false
		for i, g := range grants {
			ends[i] = command.Completion{ID: g.ID, Result: command.Unsent}
			if !isDown {
				ends[i].Result = c.servers.Grant(ctx, g)
				isDown = ends[i].Result == command.Lost || ends[i].Result == command.Unsent
			}
		}
		return func() {
			for i, g := range grants {
				if ends[i].Result != command.Done {
					c.log.Info("grant", "Service", name, "Server", g.To.ID, "Range", g.Range.String(), "Fence", g.Fence, "Result", ends[i].Result.String())
				}
			}
			d.ends = append(d.ends, ends...)
		}
	})
}

// release takes keys back.
func (c *Coordination) release(name string, d *divided, o command.Release) {
	c.run(func(ctx context.Context) func() {
		ctx, cancel := context.WithTimeout(ctx, c.terms.LongestHold())
		defer cancel()
		result, handover := c.servers.Release(ctx, o)
		return func() {
			c.log.Info("release", "Service", name, "Server", o.From.ID, "Range", o.Range.String(), "Fence", o.Fence, "Result", result.String())
			d.state = d.state.WithReleaseResult(o.ID, result, handover, c.now())
		}
	})
}

// save writes a service's owners until it is known whether they were written.
func (c *Coordination) save(name string, d *divided, o command.Save) {
	mark := c.nextMark()
	revision, reignRevision := d.revision, c.reign.revision
	value, err := registry.EncodeOwners(o.Keys, o.ReservedFence, mark)
	if err != nil {
		c.log.Error("owners not encoded", "Service", name, "Error", err)
		return
	}
	change := transaction.Transaction{}.WithExpected(registry.Coordinator, reignRevision).
		WithExpected(registry.OwnersKey(name), revision).WithPut(registry.OwnersKey(name), value, 0)
	c.run(func(ctx context.Context) func() {
		result, written := command.Lost, int64(0)
		for result == command.Lost && ctx.Err() == nil {
			result, written = c.trySave(ctx, name, mark, change)
			if result == command.Lost {
				task.Sleep(ctx, savePause)
			}
		}
		return func() {
			c.log.Info("owners saved", "Service", name, "Result", result.String(), "Revision", written, "Holdings", len(o.Keys.Holdings()))
			if result == command.Done {
				d.revision = written
			}
			d.state = d.state.WithSaveResult(o, result, c.now())
		}
	})
}

// trySave writes once. A write whose answer was lost before is found by its mark.
func (c *Coordination) trySave(ctx context.Context, name, mark string, change transaction.Transaction) (command.Result, int64) {
	written, err := c.store.Commit(ctx, change)
	switch {
	case err == nil:
		return command.Done, written
	case !kind.Is(err, kind.Conflict):
		return command.Lost, 0
	}
	r, err := c.store.Get(ctx, registry.OwnersKey(name))
	switch {
	case err != nil:
		return command.Lost, 0
	case registry.MarkOf(r.Value) == mark:
		return command.Done, r.Revision
	}
	return command.Stale, 0
}
