package ownership_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"redwingsill/core/command"
	"redwingsill/core/instance"
	"redwingsill/core/keyload"
	"redwingsill/core/keyrange"
	"redwingsill/core/ownerload"
	"redwingsill/core/ownership"
	"redwingsill/core/serverspeed"
)

const (
	noiseTime   = 400 * time.Millisecond
	noiseShare  = 0.2
	noiseFactor = 3
	workSpread  = 0.3
	meanNoise   = 1 + noiseShare*(noiseFactor-1)
	warmUp      = 10 * time.Second
	stepTime    = 5 * time.Millisecond
	callTime    = 4 * time.Millisecond
	hotTime     = 4500 * time.Millisecond
)

type playedRequest struct {
	key       int
	arrivedAt time.Time
}

type playedRun struct {
	playedRequest
	startedAt, endsAt time.Time
}

type playedServer struct {
	waiting  []playedRequest
	running  []playedRun
	slowness float64
	isNoisy  bool
}

type delayed struct {
	at time.Time
	do func()
}

// result has the requests and those served within the objective, in the first warmUp, in the second one, and after these, when
// the last requests of the second one end.
type result struct {
	all, served [3]int
	moves, keys [3]int
	holdings    int
	planning    time.Duration
}

func (r result) servedShare(phase int) float64 {
	return float64(r.served[phase]) / float64(r.all[phase])
}

// world is the state of a played load. It gives the coordinator its queues.
type world struct {
	servers   []playedServer
	names     []string
	slots     int
	load      keyload.Load
	unserved  []playedRequest
	meanWork  float64
	waitCount int
}

func (w *world) KeyLoad() keyload.Load { return w.load }
func (w *world) MeanServiceTime() time.Duration {
	return time.Duration(w.meanWork * float64(time.Second))
}
func (w *world) Waiting() int { return w.waitCount }
func (w *world) OwnerLoads(time.Time) map[string]ownerload.OwnerLoad {
	loads := map[string]ownerload.OwnerLoad{}
	for i, s := range w.servers {
		o := ownerload.OwnerLoad{Free: w.slots - len(s.running)}
		for _, r := range s.waiting {
			o.Waiting = append(o.Waiting, r.key)
		}
		for _, r := range s.running {
			o.Running = append(o.Running, r.key)
		}
		loads[w.names[i]] = o
	}
	return loads
}

// play serves the load first in, first out at the owners of keys. A request that can't be served in time is refused.
func play(l keyedLoad, seed uint64) result {
	rng := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(1000, 0)
	now := start
	w := &world{servers: make([]playedServer, l.servers), slots: l.slots, load: keyload.New(), meanWork: l.work.Seconds()}
	index := map[string]int{}
	var members []instance.Instance
	for i := range l.servers {
		m := instance.Instance{ID: fmt.Sprintf("s%03d", i), Service: "s", Address: fmt.Sprint("a", i), DataCentre: "a", Slots: l.slots}
		members = append(members, m)
		index[m.Incarnation()] = i
		w.names = append(w.names, m.Incarnation())
		w.servers[i].slowness = 1
	}
	timing := benchmarkTiming
	o := ownership.New(timing, keyedMap(w.names), 0, now).WithMembers(members, now).WithLease(now.Add(time.Hour)).WithObjective(l.objective).WithKeyWarmUp(2 * time.Second)
	speeds := serverspeed.New()
	res := result{}
	var calls []delayed
	hotFrom := 0
	phaseOf := func(t time.Time) int { return int(t.Sub(start) / warmUp) }
	for step := 0; now.Before(start.Add(2*warmUp + l.objective)); step++ {
		now = now.Add(stepTime)
		phase := phaseOf(now)
		if step%int(noiseTime/stepTime) == 0 {
			for i := range w.servers {
				w.servers[i].isNoisy = rng.Float64() < noiseShare
			}
		}
		if step%int(hotTime/stepTime) == 0 {
			hotFrom = rng.IntN(keyrange.MaxKey - l.hotKeys)
		}
		unserved := o.Unserved()
		var arrived []playedRequest
		for untilNext := rng.ExpFloat64(); untilNext < l.rate*stepTime.Seconds(); untilNext += rng.ExpFloat64() {
			key := rng.IntN(keyrange.MaxKey + 1)
			if now.Sub(start) > warmUp && rng.Float64() < l.hotShare {
				key = hotFrom + rng.IntN(l.hotKeys)
			}
			w.load = w.load.WithRequest(key, now)
			res.all[phase]++
			arrived = append(arrived, playedRequest{key: key, arrivedAt: now})
		}
		w.load = w.load.Pruned(now)
		for i := range w.servers { // requests whose key has moved look for the new owner
			s := &w.servers[i]
			var stay []playedRequest
			for _, r := range s.waiting {
				if h, _ := o.Keys().HoldingOf(r.key); h.Owner == w.names[i] && !containsKey(unserved, r.key) {
					stay = append(stay, r)
				} else {
					w.unserved = append(w.unserved, r)
				}
			}
			s.waiting = stay
		}
		waiting := append(w.unserved, arrived...)
		w.unserved = nil
		for _, r := range waiting {
			if h, ok := o.Keys().HoldingOf(r.key); ok && !containsKey(unserved, r.key) {
				w.servers[index[h.Owner]].waiting = append(w.servers[index[h.Owner]].waiting, r)
			} else {
				w.unserved = append(w.unserved, r)
			}
		}
		w.waitCount = len(w.unserved)
		for i := range w.servers {
			s, speed := &w.servers[i], l.speeds[i%len(l.speeds)]
			var still []playedRun
			for _, r := range s.running {
				if now.Before(r.endsAt) {
					still = append(still, r)
					continue
				}
				took := now.Sub(r.startedAt).Seconds()
				w.meanWork += 0.1 * (took/max(0.2, s.slowness) - w.meanWork)
				s.slowness += 0.15 * (min(8, took/w.meanWork) - s.slowness)
				if now.Sub(r.arrivedAt) <= l.objective {
					res.served[phaseOf(r.arrivedAt)]++
				}
			}
			s.running = still
			for len(s.waiting) > 0 && len(s.running) < l.slots {
				r := s.waiting[0]
				s.waiting = s.waiting[1:]
				work := l.work.Seconds() / speed * math.Exp(workSpread*rng.NormFloat64()-workSpread*workSpread/2)
				if s.isNoisy {
					work *= noiseFactor
				}
				if now.Add(time.Duration(l.work.Seconds()/speed*float64(time.Second))).Sub(r.arrivedAt) <= l.objective {
					s.running = append(s.running, playedRun{r, now, now.Add(time.Duration(work * float64(time.Second)))})
				}
			}
			w.waitCount += len(s.waiting)
		}
		var left []delayed
		due := calls
		calls = nil
		for _, c := range due {
			if now.Before(c.at) {
				left = append(left, c)
			} else {
				c.do()
			}
		}
		calls = append(left, calls...)
		began := time.Now()
		if step%10 == 0 {
			slowness := map[string]float64{}
			for i, s := range w.servers {
				slowness[w.names[i]] = s.slowness
			}
			speeds = speeds.With(slowness, w.MeanServiceTime(), now)
			o = o.WithCapacities(speeds.Capacities(members), speeds.ServiceTime())
		}
		next, commands := o.WithTick(w, now)
		res.planning += time.Since(began)
		o = next.WithoutEvents()
		for _, cmd := range commands {
			switch cmd := cmd.(type) {
			case command.Grant:
				calls = append(calls, delayed{now.Add(callTime), func() {
					o = o.WithGrantResults([]command.Completion{{ID: cmd.ID, Result: command.Done}}, now)
				}})
			case command.Release:
				res.moves[phase]++
				res.keys[phase] += cmd.Range.Width()
				end := now.Add(callTime)
				for _, r := range w.servers[index[cmd.From.Incarnation()]].running {
					if cmd.Range.Contains(r.key) && r.endsAt.After(end) {
						end = r.endsAt
					}
				}
				calls = append(calls, delayed{end, func() { o = o.WithReleaseResult(cmd.ID, command.Answer{Result: command.Done}, now) }})
			case command.Save:
				calls = append(calls, delayed{now.Add(callTime), func() { o = o.WithSaveResult(cmd, command.Done, now) }})
			}
		}
	}
	res.holdings = len(o.Keys().Holdings())
	return res
}
