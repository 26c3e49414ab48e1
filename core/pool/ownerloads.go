package pool

import (
	"time"

	"redwingsill/core/ownerload"
	"redwingsill/core/slotrequest"
)

// OwnerLoads returns the keys of waiting and running requests and the free slots of each server, by incarnation. No
// free slots are reported for a server that is warming up or leaving, that has not answered a request since it last
// backed off, or whose failure rate exceeds maxFailureRate.
func (p Pool) OwnerLoads(now time.Time) map[string]ownerload.OwnerLoad {
	loads := make(map[string]ownerload.OwnerLoad, len(p.servers))
	for n, s := range p.servers {
		load := ownerload.OwnerLoad{}
		if !s.instance.IsLeaving && s.backoffs == 0 && s.failureRate <= maxFailureRate && !now.Before(s.instance.WarmUpEnd) {
			load.Free = max(0, s.freeSlots(p.share, now))
		}
		p.queues[n].Each(func(r slotrequest.SlotRequest) bool {
			load.Waiting = append(load.Waiting, r.Key)
			return true
		})
		loads[s.incarnation] = load
	}
	for itr := p.runs.Iterator(); !itr.Done(); {
		_, r, _ := itr.Next()
		if load, ok := loads[r.incarnation]; ok && r.key != slotrequest.NoKey {
			load.Running = append(load.Running, r.key)
			loads[r.incarnation] = load
		}
	}
	return loads
}
