// Package pool decides which backend server of one service runs which request, and when.
package pool

import (
	"maps"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"redwingsill/core/ask"
	"redwingsill/core/instance"
	"redwingsill/core/keyload"
	"redwingsill/core/keymap"
	"redwingsill/core/keyrange"
	"redwingsill/core/pace"
	"redwingsill/core/placement"
	"redwingsill/core/waitlist"
)

// Pool is the backend servers of one service, the slots in use and the requests that wait. It is immutable. One entry
// host's pool gives out the slots for all; others serve when that host can't be reached.
type Pool struct {
	isDivided bool
	// share is the part of each server's slots that this pool may give out.
	share float64
	// servers is by life. It is copied before it changes.
	servers map[string]server
	keys    keymap.Map
	moving  []keyrange.Range
	load    keyload.Load
	waiting waitlist.Waitlist
	asked   *immutable.Map[uint64, time.Time]
	runs    *immutable.Map[uint64, run]
	work    map[int]pace.Pace
	lateAt  time.Time
}

// New returns a pool without servers that may give out a share of each server's slots, from 0 to 1.
func New(isDivided bool, share float64) Pool {
	return Pool{isDivided: isDivided, share: share, load: keyload.New(), waiting: waitlist.New(),
		asked: immutable.NewMap[uint64, time.Time](nil), runs: immutable.NewMap[uint64, run](nil)}
}

// WithShare returns the pool with another share of the slots, and what that allows to run.
func (p Pool) WithShare(share float64, now time.Time) (Pool, []placement.Placement) {
	p.share = share
	return p.dispatched(now)
}

// WithServers returns the pool with the service's backend servers, and what that allows to run.
func (p Pool) WithServers(instances []instance.Instance, now time.Time) (Pool, []placement.Placement) {
	servers := make(map[string]server, len(instances))
	for _, i := range instances {
		s, ok := p.servers[i.Life()]
		if !ok {
			s = server{}
		}
		s.instance = i
		servers[i.Life()] = s
	}
	p.servers = servers
	return p.dispatched(now)
}

// WithKeys returns the pool with the owners of keys, and what that allows to run.
func (p Pool) WithKeys(m keymap.Map, moving []keyrange.Range, now time.Time) (Pool, []placement.Placement) {
	p.keys, p.moving = m, moving
	return p.dispatched(now)
}

// WithDivided returns the pool for a service that is or is not divided by key.
func (p Pool) WithDivided(isDivided bool) Pool {
	p.isDivided = isDivided
	return p
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
	for life, s := range p.servers {
		speeds[life] = s.factor()
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

func (p Pool) withServer(life string, s server) Pool {
	p.servers = maps.Clone(p.servers)
	p.servers[life] = s
	return p
}

func (p Pool) withWork(rank int, took time.Duration) Pool {
	p.work = maps.Clone(p.work)
	if p.work == nil {
		p.work = map[int]pace.Pace{}
	}
	p.work[rank] = p.work[rank].With(took)
	return p
}

func (p Pool) isMoving(key int) bool {
	return slices.ContainsFunc(p.moving, func(r keyrange.Range) bool { return r.Contains(key) })
}

// ownerOf returns the life that may run requests for the key, and whether there is one now.
func (p Pool) ownerOf(a ask.Ask) (string, bool) {
	h, ok := p.keys.OwnerOf(a.Key)
	if !ok || p.isMoving(a.Key) {
		return "", false
	}
	_, known := p.servers[h.Owner]
	return h.Owner, known
}
