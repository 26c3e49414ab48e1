package pool

import (
	"time"

	"redwingsill/core/ownerload"
	"redwingsill/core/slotrequest"
)

// Pressures returns how busy each owner is, by life.
func (p Pool) Pressures(now time.Time) map[string]ownerload.OwnerLoad {
	all := make(map[string]ownerload.OwnerLoad, len(p.servers))
	for n, s := range p.servers {
		one := ownerload.OwnerLoad{}
		if !s.instance.IsLeaving && s.strikes == 0 && s.failing <= doubtful && !now.Before(s.instance.WarmupEnd) {
			one.Free = max(0, s.free(p.share, now))
		}
		p.queues[n].Each(func(a slotrequest.SlotRequest) bool {
			one.Waiting = append(one.Waiting, a.Key)
			return true
		})
		all[s.life] = one
	}
	for itr := p.runs.Iterator(); !itr.Done(); {
		_, r, _ := itr.Next()
		if one, ok := all[r.life]; ok && r.key != slotrequest.NoKey {
			one.Running = append(one.Running, r.key)
			all[r.life] = one
		}
	}
	return all
}
