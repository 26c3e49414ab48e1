package pool

import (
	"time"

	"redwingsill/core/ask"
	"redwingsill/core/pressure"
)

// Pressures returns how busy each owner is, by life.
func (p Pool) Pressures(now time.Time) map[string]pressure.Pressure {
	all := make(map[string]pressure.Pressure, len(p.servers))
	for n, s := range p.servers {
		one := pressure.Pressure{}
		if !s.instance.IsLeaving && s.strikes == 0 && s.failing <= doubtful && !now.Before(s.instance.WarmUntil) {
			one.Free = max(0, s.free(p.share, now))
		}
		p.queues[n].Each(func(a ask.Ask) bool {
			one.Waiting = append(one.Waiting, a.Key)
			return true
		})
		all[s.life] = one
	}
	for itr := p.runs.Iterator(); !itr.Done(); {
		_, r, _ := itr.Next()
		if one, ok := all[r.life]; ok && r.key != ask.NoKey {
			one.Running = append(one.Running, r.key)
			all[r.life] = one
		}
	}
	return all
}
