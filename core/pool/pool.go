// Package pool decides which backend server of one service runs which request, and when.
package pool

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"redwingsill/core/instance"
	"redwingsill/core/keyload"
	"redwingsill/core/keymap"
	"redwingsill/core/keyrange"
	"redwingsill/core/placement"
	"redwingsill/core/servicetime"
	"redwingsill/core/slotrequest"
	"redwingsill/core/waitlist"
)

// Pool holds the backend servers of one service, the slots in use and the waiting requests. It is immutable. The pool
// of one entry host gives out the slots to all entry hosts; the pools of others serve only while that host is
// unreachable.
type Pool struct {
	isSharded bool
	// share is the part of each server's slots that this pool may give out, from 0 to 1.
	share float64
	// servers is sorted by incarnation, and indexes gives the index of each incarnation. The slice is copied on write.
	servers []*server
	indexes map[string]int
	// queues has at the index of each server its own queue, with the requests for keys that it owns, and last the common
	// queue, with the requests that any server may run or whose key no server serves. The slice is copied on write.
	queues []waitlist.Waitlist
	// waiting and runs hold, by ticket, the requests that wait and those that hold a slot.
	waiting   *immutable.Map[uint64, queuedRequest]
	runs      *immutable.Map[uint64, run]
	keyOwners keymap.Map
	// unservedRanges are the key ranges whose requests must wait, also if they have an owner.
	unservedRanges []keyrange.Range
	keyLoad        keyload.Load
	// serviceTimes gives the average service time by rank, on a server of average speed.
	serviceTimes map[int]servicetime.Average
}

// New returns a pool without servers. It may give out share of each server's slots, from 0 to 1.
func New(isSharded bool, share float64) Pool {
	return Pool{isSharded: isSharded, share: share, keyLoad: keyload.New(), queues: []waitlist.Waitlist{waitlist.New()},
		waiting: immutable.NewMap[uint64, queuedRequest](nil), runs: immutable.NewMap[uint64, run](nil)}
}

// WithShare returns the pool with another share of the slots, and the placements that follow.
func (p Pool) WithShare(share float64, now time.Time) (Pool, []placement.Placement) {
	p = p.withoutColdCredit(share, now)
	p.share = share
	return p.withAllDispatched(now)
}

// WithServers returns the pool with the service's backend servers, and the placements that follow. Servers whose
// incarnation is known keep their measurements and their slots in use.
func (p Pool) WithServers(instances []instance.Instance, now time.Time) (Pool, []placement.Placement) {
	requests := p.waitingRequests()
	servers := make([]*server, 0, len(instances))
	for _, i := range instances {
		next := server{}
		if old, ok := p.serverIndex(i.Incarnation()); ok {
			next = *p.servers[old]
		}
		next = next.withInstance(i, now)
		servers = append(servers, &next)
	}
	slices.SortFunc(servers, func(a, b *server) int { return cmp.Compare(a.incarnation, b.incarnation) })
	p.servers = servers
	p.indexes = make(map[string]int, len(servers))
	for n, s := range servers {
		p.indexes[s.incarnation] = n
	}
	return p.requeued(requests, now).withAllDispatched(now)
}

// WithKeys returns the pool with the owners of keys and the unserved key ranges, and the placements that follow. Unserved
// ranges are those that are moving and those whose new owner has not acknowledged its grant; requests for their keys wait.
func (p Pool) WithKeys(owners keymap.Map, unserved []keyrange.Range, now time.Time) (Pool, []placement.Placement) {
	p.keyOwners, p.unservedRanges = owners, unserved
	return p.withMovedRequests(now).withAllDispatched(now)
}

// withMovedRequests returns the pool with each waiting request in the queue of the present owner of its key. Most keep their
// queue.
func (p Pool) withMovedRequests(now time.Time) Pool {
	var moved []slotrequest.SlotRequest
	for n, q := range p.queues {
		q.Each(func(r slotrequest.SlotRequest) bool {
			if p.queueOf(r) != n {
				moved = append(moved, r)
			}
			return true
		})
	}
	for _, r := range moved {
		queued, _ := p.waiting.Get(r.Ticket)
		p = p.withQueue(queued.queue, p.queues[queued.queue].Without(r.Ticket))
		n := p.queueOf(r)
		p = p.withQueue(n, p.queues[n].With(r, p.willMissObjective(r, now)))
		p.waiting = p.waiting.Set(r.Ticket, queuedRequest{queue: n, queuedAt: queued.queuedAt})
	}
	return p
}

// WithSharded returns the pool for a service that is sharded by key, or is not. Waiting requests change their queues at
// the next [Pool.WithServers] or [Pool.WithKeys].
func (p Pool) WithSharded(isSharded bool) Pool {
	p.isSharded = isSharded
	return p
}

// Matches reports whether the pool has exactly these backend servers and is sharded or not as given.
func (p Pool) Matches(isSharded bool, instances []instance.Instance) bool {
	if p.isSharded != isSharded || len(p.servers) != len(instances) {
		return false
	}
	return !slices.ContainsFunc(instances, func(i instance.Instance) bool {
		n, ok := p.serverIndex(i.Incarnation())
		return !ok || p.servers[n].instance != i
	})
}

// waitingRequests returns the requests of all queues.
func (p Pool) waitingRequests() []slotrequest.SlotRequest {
	var all []slotrequest.SlotRequest
	for _, q := range p.queues {
		q.Each(func(r slotrequest.SlotRequest) bool {
			all = append(all, r)
			return true
		})
	}
	return all
}

// requeued returns the pool with the requests in new queues, by the present owners of their keys.
func (p Pool) requeued(requests []slotrequest.SlotRequest, now time.Time) Pool {
	p.queues = slices.Repeat([]waitlist.Waitlist{waitlist.New()}, len(p.servers)+1)
	for _, r := range requests {
		n := p.queueOf(r)
		p.queues[n] = p.queues[n].With(r, p.willMissObjective(r, now))
		queued, _ := p.waiting.Get(r.Ticket)
		p.waiting = p.waiting.Set(r.Ticket, queuedRequest{queue: n, queuedAt: queued.queuedAt})
	}
	return p
}

// willMissObjective reports whether a request that started now would be answered after its objective.
func (p Pool) willMissObjective(r slotrequest.SlotRequest, now time.Time) bool {
	return now.Add(p.serviceTimeOf(r.Rank)).After(r.Objective)
}

// KeyLoad returns the recent load by key.
func (p Pool) KeyLoad() keyload.Load { return p.keyLoad }

// Waiting returns the number of waiting requests.
func (p Pool) Waiting() int { return p.waiting.Len() }

// Share returns the part of each server's slots that the pool may give out.
func (p Pool) Share() float64 { return p.share }

// IsIdle reports whether no request waits or runs and the key load has decayed, so that [Pool.WithTick] changes
// nothing.
func (p Pool) IsIdle() bool { return p.waiting.Len() == 0 && p.runs.Len() == 0 && p.keyLoad.IsZero() }

// Running returns the number of slots in use.
func (p Pool) Running() int { return p.runs.Len() }

// Slowness returns the average response time of each server relative to the mean service times of the requests' ranks, by
// incarnation.
func (p Pool) Slowness() map[string]float64 {
	slowness := make(map[string]float64, len(p.servers))
	for _, s := range p.servers {
		slowness[s.incarnation] = s.slownessFactor()
	}
	return slowness
}

// MeanServiceTime returns the mean service time over all ranks on a server of average speed.
func (p Pool) MeanServiceTime() time.Duration {
	total, count := 0.0, 0
	for _, t := range p.serviceTimes {
		n := min(t.Count(), maxRankWeight)
		total += float64(t.Mean(0)) * float64(n)
		count += n
	}
	if count == 0 {
		return defaultServiceTime
	}
	return time.Duration(total / float64(count))
}

// serviceTimeOf returns the mean service time of a rank on a server of average speed.
func (p Pool) serviceTimeOf(rank int) time.Duration {
	return p.serviceTimes[rank].Mean(defaultServiceTime)
}

func (p Pool) serverIndex(incarnation string) (int, bool) {
	n, ok := p.indexes[incarnation]
	return n, ok
}

func (p Pool) withServer(n int, s server) Pool {
	p.servers = slices.Clone(p.servers)
	p.servers[n] = &s
	return p
}

func (p Pool) withQueue(n int, q waitlist.Waitlist) Pool {
	p.queues = slices.Clone(p.queues)
	p.queues[n] = q
	return p
}

func (p Pool) withServiceTime(rank int, duration time.Duration) Pool {
	next := make(map[int]servicetime.Average, len(p.serviceTimes)+1)
	maps.Copy(next, p.serviceTimes)
	next[rank] = next[rank].With(duration)
	p.serviceTimes = next
	return p
}

func (p Pool) isUnserved(key int) bool {
	return slices.ContainsFunc(p.unservedRanges, func(r keyrange.Range) bool { return r.Contains(key) })
}

// commonQueue returns the index of the common queue, which follows the queues of the servers.
func (p Pool) commonQueue() int { return len(p.servers) }

// needsOwner reports whether only the owner of its key may run a request.
func (p Pool) needsOwner(r slotrequest.SlotRequest) bool { return p.isSharded && r.HasKey() }

// queueOf returns the index of the queue for a request: the key owner's, or the common one if any server may run the
// request, or if the key has no known owner or is unserved.
func (p Pool) queueOf(r slotrequest.SlotRequest) int {
	if p.needsOwner(r) {
		if h, ok := p.keyOwners.HoldingOf(r.Key); ok && !p.isUnserved(r.Key) {
			if n, known := p.serverIndex(h.Owner); known {
				return n
			}
		}
	}
	return p.commonQueue()
}
