// Package slotserver gives out slots of backend servers: it keeps the pools of an entry host and answers slot requests.
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

// SlotServer keeps the pools of one entry host, one for each service. A pool holds the service's slots in use and its
// waiting requests. A SlotServer is safe for concurrent use, and no method blocks.
type SlotServer struct {
	now   func() time.Time
	pools *rcu.Value[map[string]*rcu.Value[pool.Pool]]
	// callbacks has, by ticket, the function that receives the placement.
	callbacks sync.Map
}

// New returns a SlotServer without pools.
func New(now func() time.Time) *SlotServer {
	return &SlotServer{now: now, pools: rcu.New(map[string]*rcu.Value[pool.Pool]{})}
}

// Request asks for a slot. The callback is called once with the placement, from any goroutine and perhaps before
// Request returns, unless the request is cancelled or a repeat with the same ticket replaces its callback. It must not
// block.
func (s *SlotServer) Request(r slotrequest.SlotRequest, callback func(placement.Placement)) {
	s.callbacks.Store(r.Ticket, callback)
	s.update(s.pool(r.Service), func(p pool.Pool) (pool.Pool, []placement.Placement) { return p.WithRequest(r, s.now()) })
}

// Cancel withdraws a slot request, and frees the slot if one has been given out. With an empty service it searches all
// pools.
func (s *SlotServer) Cancel(service string, ticket uint64) {
	s.callbacks.Delete(ticket)
	for name, p := range *s.pools.Read() {
		if service == "" || service == name {
			s.update(p, func(p pool.Pool) (pool.Pool, []placement.Placement) { return p.WithoutRequest(ticket, s.now()) })
		}
	}
}

// Release gives a slot back, with the result of the attempt.
func (s *SlotServer) Release(service string, r attemptresult.AttemptResult) {
	s.update(s.pool(service), func(p pool.Pool) (pool.Pool, []placement.Placement) { return p.WithResult(r, s.now()) })
}

// Pause keeps slots of a backend server from a host, by its ID, for the time for which the server wants no requests from it.
func (s *SlotServer) Pause(service, incarnation string, host uint32, pause time.Duration) {
	s.update(s.pool(service), func(p pool.Pool) (pool.Pool, []placement.Placement) {
		return p.WithPause(incarnation, host, pause, s.now())
	})
}

// ReclaimUnlisted frees the slots of a service that a host got before the given time and whose tickets are not among
// those given. The host is given by its ID, the upper half of its tickets.
func (s *SlotServer) ReclaimUnlisted(service string, host uint32, tickets []uint64, before time.Time) {
	held := make(map[uint64]bool, len(tickets))
	for _, t := range tickets {
		held[t] = true
	}
	s.update(s.pool(service), func(p pool.Pool) (pool.Pool, []placement.Placement) {
		return p.WithHeldSlots(host, held, before, s.now())
	})
}

// SetService sets whether a service is sharded by key, and its backend servers.
func (s *SlotServer) SetService(service string, isSharded bool, servers []instance.Instance) {
	if s.pool(service).Read().Matches(isSharded, servers) {
		return
	}
	s.update(s.pool(service), func(p pool.Pool) (pool.Pool, []placement.Placement) {
		return p.WithSharded(isSharded).WithServers(servers, s.now())
	})
}

// SetKeys sets the owners of a service's keys, and the unserved ranges, whose requests wait: those that are moving from
// one owner to another, and those whose new owner has not acknowledged its grant.
func (s *SlotServer) SetKeys(service string, keys keymap.Map, unserved []keyrange.Range) {
	s.update(s.pool(service), func(p pool.Pool) (pool.Pool, []placement.Placement) { return p.WithKeys(keys, unserved, s.now()) })
}

// SetShare sets the fraction of each server's slots that the pool of a service may give out.
func (s *SlotServer) SetShare(service string, share float64) {
	p := s.pool(service)
	if p.Read().Share() == share {
		return
	}
	s.update(p, func(p pool.Pool) (pool.Pool, []placement.Placement) { return p.WithShare(share, s.now()) })
}

// Tick advances all pools that are not idle to now.
func (s *SlotServer) Tick() {
	for _, p := range *s.pools.Read() {
		if p.Read().IsIdle() {
			continue
		}
		s.update(p, func(p pool.Pool) (pool.Pool, []placement.Placement) { return p.WithTick(s.now()) })
	}
}

// Pool returns the current pool of a service.
func (s *SlotServer) Pool(service string) pool.Pool { return s.pool(service).Load() }

// pool returns the pool of a service and creates it if there is none.
func (s *SlotServer) pool(service string) *rcu.Value[pool.Pool] {
	if p, ok := (*s.pools.Read())[service]; ok {
		return p
	}
	pools := s.pools.Update(func(old map[string]*rcu.Value[pool.Pool]) map[string]*rcu.Value[pool.Pool] {
		if _, ok := old[service]; ok {
			return old
		}
		next := maps.Clone(old)
		next[service] = rcu.New(pool.New(false, 1))
		return next
	})
	return pools[service]
}

// update replaces a pool by the result of change, and calls the callbacks of the requests that change has placed or
// refused.
func (s *SlotServer) update(p *rcu.Value[pool.Pool], change func(pool.Pool) (pool.Pool, []placement.Placement)) {
	var placements []placement.Placement
	p.Update(func(old pool.Pool) pool.Pool {
		var next pool.Pool
		next, placements = change(old)
		return next
	})
	for _, p := range placements {
		if callback, ok := s.callbacks.LoadAndDelete(p.RequestTicket()); ok {
			callback.(func(placement.Placement))(p)
		}
	}
}
