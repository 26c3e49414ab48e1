package pool_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"redwingsill/core/attemptresult"
	"redwingsill/core/holding"
	"redwingsill/core/instance"
	"redwingsill/core/keymap"
	"redwingsill/core/keyrange"
	"redwingsill/core/placement"
	"redwingsill/core/pool"
	"redwingsill/core/slotrequest"
	"redwingsill/core/warmup"
)

// coldBound is how many requests may reach the cold server in a second, and coldRate the rate of one pool.
const coldBound = 5.1*1.5 + 8

var coldRate = warmup.Rate(5.1, 1.5, 8)

// coldRun plays more demand than a cold server can take into the pools of several hosts, and records when requests reach the server:
// up to 350 ms after they got their slots.
type coldRun struct {
	random   *rand.Rand
	now      time.Time
	pools    []*harness
	isActive []bool
	tickets  uint64
	// result is what becomes of each attempt, after runTime.
	result   attemptresult.Status
	runTime  time.Duration
	results  map[time.Time][]func()
	arrivals []time.Time
	placed   int
}

// newColdRun returns a run of pools that may give out the given shares of the slots of one server, which is cold for a time.
func newColdRun(cold time.Duration, shares ...float64) *coldRun {
	r := &coldRun{random: rand.New(rand.NewPCG(1, 2)), now: start, results: map[time.Time][]func(){}, result: attemptresult.Answered, runTime: 300 * time.Millisecond}
	i := server("a", "ilo", 3).WithColdRate(coldRate).WithWarmUpEnd(start.Add(cold))
	for _, share := range shares {
		h := newHarness(true, i)
		h.step(func(p pool.Pool) (pool.Pool, []placement.Placement) {
			return p.WithKeys(keymap.New(holding.Holding{Range: keyrange.All(), Owner: i.Incarnation(), Fence: 1}), nil, h.now)
		})
		h.step(func(p pool.Pool) (pool.Pool, []placement.Placement) { return p.WithShare(share, h.now) })
		r.pools, r.isActive = append(r.pools, h), append(r.isActive, true)
	}
	return r
}

func (r *coldRun) runFor(d time.Duration) {
	const step = 10 * time.Millisecond
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(step) {
		for _, apply := range r.results[r.now] {
			apply()
		}
		delete(r.results, r.now)
		for n, h := range r.pools {
			if !r.isActive[n] {
				continue
			}
			h.now = r.now
			if r.now.UnixMilli()%100 == 0 {
				h.step(func(p pool.Pool) (pool.Pool, []placement.Placement) { return p.WithTick(h.now) })
			}
			r.tickets++
			ticket := uint64(n+1)*2654435761<<32 | r.tickets
			h.request(slotrequest.SlotRequest{Ticket: ticket, Service: "s", Key: int(r.tickets % 65536), DataCentre: "ilo", Objective: r.now.Add(500 * time.Millisecond),
				Deadline: r.now.Add(2500 * time.Millisecond)})
			r.recordPlaced(h)
		}
	}
}

// recordPlaced records the arrivals of the requests that got a slot, and their results.
func (r *coldRun) recordPlaced(h *harness) {
	n := slices.Index(r.pools, h)
	for ticket := range h.placed {
		delete(h.placed, ticket)
		r.placed++
		r.arrivals = append(r.arrivals, r.now.Add(time.Duration(r.random.Int64N(int64(350*time.Millisecond)))))
		due := r.now.Add(max(r.runTime, 10*time.Millisecond))
		r.results[due] = append(r.results[due], func() {
			if !r.isActive[n] {
				return // the host is lost
			}
			h.now = due
			h.step(func(p pool.Pool) (pool.Pool, []placement.Placement) {
				return p.WithResult(attemptresult.AttemptResult{Ticket: ticket, Incarnation: "a@0", Status: r.result, Duration: r.runTime, Running: -1, Waiting: -1}, h.now)
			})
			r.recordPlaced(h)
		})
	}
}

// mostInASecond returns the most requests that reach the server in any second.
func (r *coldRun) mostInASecond() int {
	slices.SortFunc(r.arrivals, time.Time.Compare)
	most, first := 0, 0
	for last := range r.arrivals {
		for r.arrivals[last].Sub(r.arrivals[first]) >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// Guards against a limit that only successful requests use up: a cold server that sheds or fails gets more and more.
func TestShedAndFailedAttemptsCountTowardsTheRateOfAColdServer(t *testing.T) {
	for _, result := range []attemptresult.Status{attemptresult.Answered, attemptresult.Refused, attemptresult.Failed, attemptresult.Left} {
		r := newColdRun(time.Minute, 1)
		r.result, r.runTime = result, 10*time.Millisecond
		r.runFor(10 * time.Second)
		if most := r.mostInASecond(); most > 8 {
			t.Errorf("%v: %d requests in a second", result, most)
		}
		if want := int(10 * coldRate * 0.9); r.placed < want {
			t.Errorf("%v: only %d requests in 10 s, want %d", result, r.placed, want)
		}
	}
}

// Guards against a refusal of keys that the server does not own using up the rate.
func TestRequestsForKeysOfOthersDontCountTowardsTheRateOfAColdServer(t *testing.T) {
	r := newColdRun(time.Minute, 1)
	r.result, r.runTime = attemptresult.NotOwner, 10*time.Millisecond
	r.runFor(5 * time.Second)
	if r.placed < int(10*coldRate) {
		t.Errorf("%d requests in 5 s", r.placed)
	}
}

// Guards against two hosts that give out slots at the same time, as after a network partition.
func TestTwoSlotServersKeepTheBoundOfAColdServer(t *testing.T) {
	r := newColdRun(time.Minute, 1, 1)
	r.runFor(20 * time.Second)
	if most := r.mostInASecond(); float64(most) > coldBound {
		t.Errorf("%d requests in a second", most)
	}
}

// Guards against credit that a new slot server has, while requests of the lost one are still on their way.
func TestTakeoversOfTheSlotServerKeepTheBoundOfAColdServer(t *testing.T) {
	shares := []float64{1, 1.0 / 64, 1.0 / 64, 1.0 / 64, 1.0 / 64, 1.0 / 64}
	r := newColdRun(time.Minute, shares...)
	for n := range r.pools {
		r.isActive[n] = n == 0
	}
	for n := range r.pools {
		r.runFor(700 * time.Millisecond)
		if n+1 < len(r.pools) {
			r.isActive[n], r.isActive[n+1] = false, true
			h := r.pools[n+1]
			h.now = r.now
			h.step(func(p pool.Pool) (pool.Pool, []placement.Placement) { return p.WithShare(1, h.now) })
			if len(h.placed) > 0 {
				t.Errorf("pool %d starts with a request", n+1)
			}
		}
	}
	if most := r.mostInASecond(); float64(most) > coldBound {
		t.Errorf("%d requests in a second", most)
	}
}

// Guards against hosts that reach no slot server and all send their shares at the same moment.
func TestHostsThatDecideAloneKeepTheBoundOfAColdServer(t *testing.T) {
	r := newColdRun(time.Minute, slices.Repeat([]float64{1.0 / 64}, 64)...)
	r.runFor(20 * time.Second)
	if most := r.mostInASecond(); float64(most) > coldBound || r.placed < 20 {
		t.Errorf("%d requests in a second, %d in all", most, r.placed)
	}
}

// Guards against a limit that stays after the warm-up, or that is there without a rate.
func TestAWarmServerIsNotLimited(t *testing.T) {
	r := newColdRun(time.Second, 1)
	r.runFor(time.Second)
	cold := r.placed
	r.runTime = 100 * time.Millisecond
	r.runFor(2 * time.Second)
	if r.placed-cold < 30 {
		t.Errorf("%d requests in 2 s after the warm-up", r.placed-cold)
	}
	h := newHarness(false, server("a", "ilo", 3).WithWarmUpEnd(start.Add(time.Minute)))
	for ticket := range uint64(3) {
		h.request(slotrequest.SlotRequest{Ticket: ticket + 1, Service: "s", Key: slotrequest.NoKey, Objective: start.Add(time.Second), Deadline: start.Add(2 * time.Second)})
	}
	if len(h.placed) != 3 {
		t.Errorf("%d of 3 requests got a slot of a cold server without a rate", len(h.placed))
	}
}

// Guards against an entry that shows late that a server has turned cold again: what an answer says counts from then on.
func TestAServerThatTurnsColdAgainIsLimitedAtOnce(t *testing.T) {
	r := newColdRun(0, 1)
	r.runFor(time.Second)
	r.arrivals, r.placed = nil, 0
	h := r.pools[0]
	h.now = r.now
	h.step(func(p pool.Pool) (pool.Pool, []placement.Placement) {
		return p.WithServers([]instance.Instance{server("a", "ilo", 3).WithColdRate(coldRate).WithWarmUpEnd(r.now.Add(3 * time.Second))}, h.now)
	})
	r.runFor(3 * time.Second)
	if most := r.mostInASecond(); most > 8 {
		t.Errorf("%d requests in a second", most)
	}
}

// Guards against a server that turns cold unnoticed, since its slowness follows its answers, and against suspicion of servers that are
// slow for a moment.
func TestServersWhoseAnswersBecomeSlowAreSuspectedOfBeingCold(t *testing.T) {
	for name, c := range map[string]struct {
		slowFor time.Duration
		want    bool
	}{"a noisy moment": {400 * time.Millisecond, false}, "cold": {time.Second, true}} {
		r := newColdRun(0, 1)
		r.runTime = 150 * time.Millisecond
		r.runFor(3 * time.Second)
		if suspects := r.pools[0].pool.ColdSuspects(r.now); len(suspects) > 0 {
			t.Errorf("%s: suspects before: %v", name, suspects)
		}
		r.runTime = 300 * time.Millisecond
		r.runFor(c.slowFor)
		if got := len(r.pools[0].pool.ColdSuspects(r.now)) > 0; got != c.want {
			t.Errorf("%s: suspected %v", name, got)
		}
		r.runTime = 150 * time.Millisecond
		r.runFor(2 * time.Second)
		if suspects := r.pools[0].pool.ColdSuspects(r.now); len(suspects) > 0 {
			t.Errorf("%s: suspects after: %v", name, suspects)
		}
	}
}
