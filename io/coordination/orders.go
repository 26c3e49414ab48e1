package coordination

import (
	"context"
	"time"

	"redwingsill/core/kind"
	"redwingsill/core/order"
	"redwingsill/core/ownership"
	"redwingsill/core/transaction"
	"redwingsill/io/registry"
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
					d.revision, d.isLoaded, d.members = r.Revision, true, nil
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

// carryOut makes the call for an order.
func (c *Coordination) carryOut(name string, d *divided, o order.Order) {
	switch o := o.(type) {
	case order.Grant:
		c.run(func(ctx context.Context) func() {
			ctx, cancel := context.WithTimeout(ctx, c.terms.CallTimeout)
			defer cancel()
			result := c.servers.Grant(ctx, o)
			return func() {
				if result != order.Done {
					c.log.Info("grant", "Service", name, "Server", o.To.ID, "Range", o.Range.String(), "Fence", o.Fence, "Result", result.String())
				}
				d.state = d.state.WithGranted(o.ID, result, c.now())
			}
		})
	case order.Release:
		c.run(func(ctx context.Context) func() {
			ctx, cancel := context.WithTimeout(ctx, c.terms.LongestHold())
			defer cancel()
			result, handover := c.servers.Release(ctx, o)
			return func() {
				c.log.Info("release", "Service", name, "Server", o.From.ID, "Range", o.Range.String(), "Fence", o.Fence, "Result", result.String())
				d.state = d.state.WithReleased(o.ID, result, handover, c.now())
			}
		})
	case order.Save:
		c.save(name, d, o)
	}
}

// save writes a service's owners until it is known whether they were written.
func (c *Coordination) save(name string, d *divided, o order.Save) {
	mark := c.nextMark()
	revision, reignRevision := d.revision, c.reign.revision
	value, err := registry.EncodeOwners(o.Keys, o.Fence, mark)
	if err != nil {
		c.log.Error("owners not encoded", "Service", name, "Error", err)
		return
	}
	change := transaction.Transaction{}.WithExpected(registry.Coordinator, reignRevision).
		WithExpected(registry.OwnersKey(name), revision).WithPut(registry.OwnersKey(name), value, 0)
	c.run(func(ctx context.Context) func() {
		result, written := order.Lost, int64(0)
		for result == order.Lost && ctx.Err() == nil {
			result, written = c.trySave(ctx, name, mark, change)
			if result == order.Lost {
				pause(ctx, savePause)
			}
		}
		return func() {
			c.log.Info("owners saved", "Service", name, "Result", result.String(), "Revision", written, "Holdings", len(o.Keys.Holdings()))
			if result == order.Done {
				d.revision = written
			}
			d.state = d.state.WithSaved(o, result)
		}
	})
}

// trySave writes once. A write whose answer was lost before is found by its mark.
func (c *Coordination) trySave(ctx context.Context, name, mark string, change transaction.Transaction) (order.Result, int64) {
	written, err := c.store.Commit(ctx, change)
	switch {
	case err == nil:
		return order.Done, written
	case kindOf(err) != kind.Conflict:
		return order.Lost, 0
	}
	r, err := c.store.Get(ctx, registry.OwnersKey(name))
	switch {
	case err != nil:
		return order.Lost, 0
	case registry.MarkOf(r.Value) == mark:
		return order.Done, r.Revision
	}
	return order.Stale, 0
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
