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

// Pool is the backend servers of one service, the slots in use and the requests that wait. It is immutable. One entry
// host's pool gives out the slots for all; others serve when that host can't be reached.
type Pool struct {
	isDivided bool
	// share is the part of each server's slots that this pool may give out.
	share float64
	// servers is in the order of the lives, and index finds them. The slice is copied before it changes.
	servers []*server
	index   map[string]int
	// queues has the requests that wait for each server, as the owner of their key, and last those that any may run or
	// whose key nobody owns. The slice is copied before it changes.
	queues  []waitlist.Waitlist
	waiting *immutable.Map[uint64, waiting]
	runs    *immutable.Map[uint64, run]
	keys    keymap.Map
	moving  []keyrange.Range
	load    keyload.Load
	work    map[int]servicetime.Average
}

// New returns a pool without servers that may give out a share of each server's slots, from 0 to 1.
func New(isDivided bool, share float64) Pool {
	return Pool{isDivided: isDivided, share: share, load: keyload.New(), queues: []waitlist.Waitlist{waitlist.New()},
		waiting: immutable.NewMap[uint64, waiting](nil), runs: immutable.NewMap[uint64, run](nil)}
}

// WithShare returns the pool with another share of the slots, and what that allows to run.
func (p Pool) WithShare(share float64, now time.Time) (Pool, []placement.Placement) {
	p.share = share
	return p.dispatchedAll(now)
}

// WithServers returns the pool with the service's backend servers, and what that allows to run.
func (p Pool) WithServers(instances []instance.Instance, now time.Time) (Pool, []placement.Placement) {
	asks := p.asks()
	servers := make([]*server, 0, len(instances))
	for _, i := range instances {
		next := server{}
		if old, ok := p.find(i.Incarnation()); ok {
			next = *p.servers[old]
		}
		next.instance, next.life = i, i.Incarnation()
		servers = append(servers, &next)
	}
	slices.SortFunc(servers, func(a, b *server) int { return cmp.Compare(a.life, b.life) })
	p.servers = servers
	p.index = make(map[string]int, len(servers))
	for n, s := range servers {
		p.index[s.life] = n
	}
	return p.regrouped(asks, now).dispatchedAll(now)
}

// WithKeys returns the pool with the owners of keys, and what that allows to run.
func (p Pool) WithKeys(m keymap.Map, moving []keyrange.Range, now time.Time) (Pool, []placement.Placement) {
	asks := p.asks()
	p.keys, p.moving = m, moving
	return p.regrouped(asks, now).dispatchedAll(now)
}

// WithDivided returns the pool for a service that is or is not divided by key.
func (p Pool) WithDivided(isDivided bool) Pool {
	p.isDivided = isDivided
	return p
}

// IsFor reports whether the pool is for just these backend servers.
func (p Pool) IsFor(isDivided bool, instances []instance.Instance) bool {
	if p.isDivided != isDivided || len(p.servers) != len(instances) {
		return false
	}
	return !slices.ContainsFunc(instances, func(i instance.Instance) bool {
		n, ok := p.find(i.Incarnation())
		return !ok || p.servers[n].instance != i
	})
}

// asks returns all requests that wait.
func (p Pool) asks() []slotrequest.SlotRequest {
	var all []slotrequest.SlotRequest
	for _, q := range p.queues {
		q.Each(func(a slotrequest.SlotRequest) bool {
			all = append(all, a)
			return true
		})
	}
	return all
}

// regrouped returns the pool with the requests in the queues of those who own their keys now.
func (p Pool) regrouped(asks []slotrequest.SlotRequest, now time.Time) Pool {
	p.queues = make([]waitlist.Waitlist, len(p.servers)+1)
	for n := range p.queues {
		p.queues[n] = waitlist.New()
	}
	for _, a := range asks {
		n := p.queueOf(a)
		p.queues[n] = p.queues[n].With(a, p.isLate(a, now))
		w, _ := p.waiting.Get(a.Ticket)
		p.waiting = p.waiting.Set(a.Ticket, waiting{queue: n, since: w.since})
	}
	return p
}

func (p Pool) isLate(a slotrequest.SlotRequest, now time.Time) bool {
	return now.Add(p.workOf(a.Rank)).After(a.Objective)
}

// Load returns the recent work for each key.
func (p Pool) Load() keyload.Load { return p.load }

// Waiting returns how many requests wait.
func (p Pool) Waiting() int { return p.waiting.Len() }

// Share returns the part of each server's slots that the pool may give out.
func (p Pool) Share() float64 { return p.share }

// IsIdle reports whether nothing waits or runs and no load is left to forget.
func (p Pool) IsIdle() bool { return p.waiting.Len() == 0 && p.runs.Len() == 0 && p.load.IsZero() }

// Running returns how many slots are in use.
func (p Pool) Running() int { return p.runs.Len() }

// Speeds returns how much slower than the service's average each life is; 1 is average.
func (p Pool) Speeds() map[string]float64 {
	speeds := make(map[string]float64, len(p.servers))
	for _, s := range p.servers {
		speeds[s.life] = s.factor()
	}
	return speeds
}

// WorkOf returns the average time that a request takes on an average server.
func (p Pool) WorkOf() time.Duration {
	total, count := 0.0, 0
	for _, w := range p.work {
		n := min(w.Count(), 50)
		total += float64(w.Mean(0)) * float64(n)
		count += n
	}
	if count == 0 {
		return unknownWork
	}
	return time.Duration(total / float64(count))
}

func (p Pool) workOf(rank int) time.Duration { return p.work[rank].Mean(unknownWork) }

func (p Pool) find(life string) (int, bool) {
	n, ok := p.index[life]
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

func (p Pool) withWork(rank int, took time.Duration) Pool {
	next := make(map[int]servicetime.Average, len(p.work)+1)
	maps.Copy(next, p.work)
	next[rank] = next[rank].With(took)
	p.work = next
	return p
}

func (p Pool) isMoving(key int) bool {
	return slices.ContainsFunc(p.moving, func(r keyrange.Range) bool { return r.Contains(key) })
}

// common returns the queue of requests that wait for no server of their own.
func (p Pool) common() int { return len(p.servers) }

// isOwned reports whether a request must go to the owner of its key.
func (p Pool) isOwned(a slotrequest.SlotRequest) bool { return p.isDivided && a.HasKey() }

// queueOf returns the queue that a request waits in.
func (p Pool) queueOf(a slotrequest.SlotRequest) int {
	if p.isOwned(a) {
		if h, ok := p.keys.HoldingOf(a.Key); ok && !p.isMoving(a.Key) {
			if n, known := p.find(h.Owner); known {
				return n
			}
		}
	}
	return p.common()
}
