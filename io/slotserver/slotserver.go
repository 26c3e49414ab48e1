// Package slotserver keeps the pools of an entry host and tells whoever asked for a slot what became of it.
package slotserver

import (
	"maps"
	"sync"
	"time"

	"redwingsill/core/attemptresult"
	"redwingsill/core/instance"
	"redwingsill/core/keymap"
	"redwingsill/core/keyrange"
	"redwingsill/core/placement"
	"redwingsill/core/pool"
	"redwingsill/core/rcu"
	"redwingsill/core/slotrequest"
)

// SlotServer is the pools of one entry host by service. Its methods may be called at the same time; none waits.
type SlotServer struct {
	now   func() time.Time
	pools *rcu.Value[map[string]*rcu.Value[pool.Pool]]
	// askers gives, by ticket, the function that is told the placement.
	askers sync.Map
}

// New returns a desk without pools.
func New(now func() time.Time) *SlotServer {
	return &SlotServer{now: now, pools: rcu.New(map[string]*rcu.Value[pool.Pool]{})}
}

// Ask wants a slot. The answer is called once, from any goroutine and perhaps before Ask returns, unless the ask is
// dropped.
func (d *SlotServer) Ask(a slotrequest.SlotRequest, answer func(placement.Placement)) {
	d.askers.Store(a.Ticket, answer)
	d.step(d.pool(a.Service), func(p pool.Pool) (pool.Pool, []placement.Placement) { return p.WithRequest(a, d.now()) })
}

// Drop takes an ask back. Without a service it is looked for in all pools.
func (d *SlotServer) Drop(service string, ticket uint64) {
	d.askers.Delete(ticket)
	for name, p := range *d.pools.Read() {
		if service == "" || service == name {
			d.step(p, func(p pool.Pool) (pool.Pool, []placement.Placement) { return p.WithoutRequest(ticket, d.now()) })
		}
	}
}

// Report gives a slot back.
func (d *SlotServer) Report(service string, r attemptresult.AttemptResult) {
	d.step(d.pool(service), func(p pool.Pool) (pool.Pool, []placement.Placement) { return p.WithResult(r, d.now()) })
}

// Held frees the slots that a host had before a time and no longer names.
func (d *SlotServer) Held(service string, host uint32, tickets []uint64, before time.Time) {
	held := make(map[uint64]bool, len(tickets))
	for _, t := range tickets {
		held[t] = true
	}
	d.step(d.pool(service), func(p pool.Pool) (pool.Pool, []placement.Placement) {
		return p.WithHeldSlots(host, held, before, d.now())
	})
}

// SetService tells whether a service is divided by key, and its backend servers.
func (d *SlotServer) SetService(service string, isDivided bool, servers []instance.Instance) {
	if d.pool(service).Read().Matches(isDivided, servers) {
		return
	}
	d.step(d.pool(service), func(p pool.Pool) (pool.Pool, []placement.Placement) {
		return p.WithSharded(isDivided).WithServers(servers, d.now())
	})
}

// SetKeys tells the owners of a service's keys and the ranges that are moving.
func (d *SlotServer) SetKeys(service string, keys keymap.Map, moving []keyrange.Range) {
	d.step(d.pool(service), func(p pool.Pool) (pool.Pool, []placement.Placement) { return p.WithKeys(keys, moving, d.now()) })
}

// SetShare tells which part of the slots the pool of a service may give out.
func (d *SlotServer) SetShare(service string, share float64) {
	p := d.pool(service)
	if p.Read().Share() == share {
		return
	}
	d.step(p, func(p pool.Pool) (pool.Pool, []placement.Placement) { return p.WithShare(share, d.now()) })
}

// Tick moves all pools on to now.
func (d *SlotServer) Tick() {
	for _, p := range *d.pools.Read() {
		if p.Read().IsIdle() {
			continue
		}
		d.step(p, func(p pool.Pool) (pool.Pool, []placement.Placement) { return p.WithTick(d.now()) })
	}
}

// Pool returns the pool of a service as it is now.
func (d *SlotServer) Pool(service string) pool.Pool { return d.pool(service).Load() }

// pool returns the pool of a service, a new one where there is none.
func (d *SlotServer) pool(service string) *rcu.Value[pool.Pool] {
	if p, ok := (*d.pools.Read())[service]; ok {
		return p
	}
	pools := d.pools.Update(func(old map[string]*rcu.Value[pool.Pool]) map[string]*rcu.Value[pool.Pool] {
		if _, ok := old[service]; ok {
			return old
		}
		next := maps.Clone(old)
		next[service] = rcu.New(pool.New(false, 1))
		return next
	})
	return pools[service]
}

// step replaces a pool by what a step makes of it, and tells those whose asks are answered by that.
func (d *SlotServer) step(p *rcu.Value[pool.Pool], step func(pool.Pool) (pool.Pool, []placement.Placement)) {
	var placed []placement.Placement
	p.Update(func(old pool.Pool) pool.Pool {
		var next pool.Pool
		next, placed = step(old)
		return next
	})
	for _, each := range placed {
		if answer, ok := d.askers.LoadAndDelete(each.RequestTicket()); ok {
			answer.(func(placement.Placement))(each)
		}
	}
}
