package ownership_test

import (
	"fmt"
	"time"

	"redwingsill/core/command"
	"redwingsill/core/instance"
	"redwingsill/core/keyload"
	"redwingsill/core/keymap"
	"redwingsill/core/keyrange"
	"redwingsill/core/ownerload"
	"redwingsill/core/ownership"
)

// evacuationRun drives a coordinator of 176 servers in 4 data centres, whose keys get 1,573 requests a second. A release takes
// as long as the work on the range, other calls take milliseconds.
type evacuationRun struct {
	state   ownership.Ownership
	now     time.Time
	members []instance.Instance
	load    keyload.Load
	// silent has the servers from which no answer to a release comes, and results the results that are due at the given times.
	silent  map[string]bool
	results map[time.Time][]func(ownership.Ownership) ownership.Ownership
	// calls has the time of the last grant or release to each server, heldUntil the latest end of its grants, and grants the
	// number of first grants of keys by the data centre that lost them.
	calls     map[string]time.Time
	heldUntil map[string]time.Time
	releases  map[keyrange.Range]int
	handovers int
	saves     int
	// coldRate is the rate of requests to a cold server.
	coldRate float64
	// maxUnserved is the largest number of keys that were unserved at once.
	maxUnserved int
}

var _ ownership.Queues = (*evacuationRun)(nil)

func newEvacuationRun() *evacuationRun {
	r := &evacuationRun{now: time.Unix(5_000_000, 0), load: keyload.New(), silent: map[string]bool{}, calls: map[string]time.Time{},
		results: map[time.Time][]func(ownership.Ownership) ownership.Ownership{}, heldUntil: map[string]time.Time{}, releases: map[keyrange.Range]int{}}
	for i := range 176 {
		r.members = append(r.members, instance.Instance{ID: fmt.Sprintf("s%d", i), StartMillis: 1, Service: "stock", Address: fmt.Sprintf("10.0.0.%d:1", i),
			DataCentre: fmt.Sprintf("zone-%d", i%4), Slots: 3})
	}
	r.state = ownership.New(modelTiming, keymap.New(), 0, r.now)
	r.runFor(4 * time.Second)
	return r
}

func (r *evacuationRun) KeyLoad() keyload.Load                               { return r.load }
func (r *evacuationRun) OwnerLoads(time.Time) map[string]ownerload.OwnerLoad { return nil }
func (r *evacuationRun) MeanServiceTime() time.Duration                      { return 160 * time.Millisecond }
func (r *evacuationRun) Waiting() int                                        { return 0 }

// evacuate marks the servers of a data centre, to which nothing may be sent after a time.
func (r *evacuationRun) evacuate(dataCentre string, left time.Duration) {
	next := make([]instance.Instance, len(r.members))
	for n, i := range r.members {
		if next[n] = i; i.DataCentre == dataCentre {
			next[n] = i.WithEvacuation(r.now.Add(left))
		}
	}
	r.members = next
}

// turnCold makes the servers of a data centre cold for some seconds.
func (r *evacuationRun) turnCold(dataCentre string, coldFor time.Duration) {
	next := make([]instance.Instance, len(r.members))
	for n, i := range r.members {
		if next[n] = i; i.DataCentre == dataCentre {
			next[n] = i.WithColdRate(r.coldRate).WithWarmUpEnd(r.now.Add(coldFor))
		}
	}
	r.members = next
}

// capacities returns the servers' slots, or for cold ones what their rate allows.
func (r *evacuationRun) capacities() map[string]float64 {
	all := map[string]float64{}
	for _, i := range r.members {
		all[i.Incarnation()] = float64(i.Slots)
		if i.IsColdLimited(r.now) {
			all[i.Incarnation()] = r.coldRate * r.MeanServiceTime().Seconds()
		}
	}
	return all
}

// loadOf returns the requests a second for the keys of each server of a data centre.
func (r *evacuationRun) loadOf(dataCentre string) []float64 {
	var loads []float64
	rates := r.load.Rates(r.now)
	for _, i := range r.members {
		if i.DataCentre != dataCentre {
			continue
		}
		load := 0.0
		for _, h := range r.state.Keys().Holdings() {
			if h.Owner == i.Incarnation() {
				load += rates.Sum(h.Range)
			}
		}
		loads = append(loads, load)
	}
	return loads
}

// endEvacuation ends the evacuation of a data centre.
func (r *evacuationRun) endEvacuation(dataCentre string) {
	next := make([]instance.Instance, len(r.members))
	for n, i := range r.members {
		if next[n] = i; i.DataCentre == dataCentre {
			next[n].IsLeaving, next[n].IsEvacuated, next[n].SendDeadline = false, false, time.Time{}
		}
	}
	r.members = next
}

// keysOf returns the number of keys that a data centre's servers own.
func (r *evacuationRun) keysOf(dataCentre string) int {
	count := 0
	for _, i := range r.members {
		if i.DataCentre == dataCentre {
			count += r.state.Keys().KeyCount(i.Incarnation())
		}
	}
	return count
}

func (r *evacuationRun) runFor(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(20 * time.Millisecond) {
		for n := range 31 { // 1,573 requests a second on keys that are spread evenly
			r.load = r.load.WithRequest((n*2114+int(r.now.UnixMilli())*7919)%65536, r.now)
		}
		for _, apply := range r.results[r.now] {
			r.state = apply(r.state)
		}
		delete(r.results, r.now)
		next, commands := r.state.WithMembers(r.members, r.now).WithCapacities(r.capacities()).WithLease(r.now.Add(lease)).WithTick(r, r.now)
		r.state = next
		for _, c := range commands {
			r.execute(c)
		}
		unserved := 0
		for _, u := range r.state.Unserved() {
			unserved += u.Width()
		}
		if len(r.state.Keys().Holdings()) > 0 && r.saves > 2 {
			r.maxUnserved = max(r.maxUnserved, unserved)
		}
	}
}

func (r *evacuationRun) after(delay time.Duration, apply func(o ownership.Ownership, now time.Time) ownership.Ownership) {
	at := r.now.Add(delay)
	r.results[at] = append(r.results[at], func(o ownership.Ownership) ownership.Ownership { return apply(o, at) })
}

func (r *evacuationRun) execute(c command.Command) {
	switch c := c.(type) {
	case command.Grant:
		r.calls[c.To.Incarnation()] = r.now
		if until := r.now.Add(c.HoldTime); until.After(r.heldUntil[c.To.Incarnation()]) {
			r.heldUntil[c.To.Incarnation()] = until
		}
		if c.Handover != "" {
			r.handovers++
		}
		r.after(20*time.Millisecond, func(o ownership.Ownership, now time.Time) ownership.Ownership {
			return o.WithGrantResults([]command.Completion{{ID: c.ID, Result: command.Done}}, now)
		})
	case command.Release:
		r.calls[c.From.Incarnation()] = r.now
		r.releases[c.Range]++
		if r.silent[c.From.ID] {
			r.after(100*time.Millisecond, func(o ownership.Ownership, now time.Time) ownership.Ownership {
				return o.WithReleaseResult(c.ID, command.Answer{Result: command.Lost}, now)
			})
			return
		}
		r.after(time.Duration(c.ID%9+1)*60*time.Millisecond, func(o ownership.Ownership, now time.Time) ownership.Ownership {
			return o.WithReleaseResult(c.ID, command.Answer{Result: command.Done, Handover: "state"}, now)
		})
	case command.Save:
		r.saves++
		r.after(20*time.Millisecond, func(o ownership.Ownership, now time.Time) ownership.Ownership {
			return o.WithSaveResult(c, command.Done, now)
		})
	}
}
