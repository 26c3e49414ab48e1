package warmup_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"redwingsill/core/warmup"
)

const perSecond, excess, slack = 5.1, 1.5, 8

var start = time.Unix(1000, 0)

// mostInASecond returns the most arrivals in any second.
func mostInASecond(arrivals []time.Time) int {
	slices.SortFunc(arrivals, time.Time.Compare)
	most, first := 0, 0
	for last := range arrivals {
		for arrivals[last].Sub(arrivals[first]) >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// arrivalsOf returns when the requests of one host with unbounded demand reach the server, each up to 400 ms late.
func arrivalsOf(p warmup.Pace, rate float64, from, until time.Time, step time.Duration, random *rand.Rand) []time.Time {
	var arrivals []time.Time
	for now := from; now.Before(until); now = now.Add(step) {
		for p.MayStart(now) {
			p = p.WithStart(rate, now)
			arrivals = append(arrivals, now.Add(time.Duration(random.Int64N(int64(400*time.Millisecond)))))
		}
	}
	return arrivals
}

// Guards against two hosts that give out slots at the same time, with delays between hosts and server, exceeding the bound, and
// against a rate that is far below what the server can take.
func TestTwoHostsTogetherKeepTheBound(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	rate := warmup.Rate(perSecond, excess, slack)
	if rate < 0.8*perSecond || rate > perSecond {
		t.Errorf("the rate is %v", rate)
	}
	for range 200 {
		var all []time.Time
		for range 2 {
			from := start.Add(time.Duration(random.Int64N(int64(time.Second))))
			all = append(all, arrivalsOf(warmup.New(rate, from), rate, from, start.Add(6*time.Second), 37*time.Millisecond, random)...)
		}
		if most := mostInASecond(all); float64(most) > perSecond*excess+slack {
			t.Fatalf("%d requests in a second", most)
		}
	}
}

// Guards against losing throughput to the time between two looks at the queue.
func TestLateStartsDoNotLowerTheRate(t *testing.T) {
	arrivals := arrivalsOf(warmup.New(5, start), 5, start, start.Add(10*time.Second), 90*time.Millisecond, rand.New(rand.NewPCG(1, 2)))
	if len(arrivals) < 48 || len(arrivals) > 50 {
		t.Errorf("%d requests in 10 s at 5 a second", len(arrivals))
	}
}

// Guards against credit at a takeover: requests that could have been sent by the host that gave out the slots before.
func TestATakeoverStartsWithoutCredit(t *testing.T) {
	p := warmup.New(5, start)
	later := start.Add(time.Minute)
	if !p.MayStart(later) || p.WithoutCredit(5, later).MayStart(later.Add(199*time.Millisecond)) || !p.WithoutCredit(5, later).MayStart(later.Add(200*time.Millisecond)) {
		t.Error("the first request is not sent 200 ms after the takeover")
	}
}

// Guards against hosts that decide by themselves sending their shares at the same moment after a long time.
func TestHostsWithSharesDoNotSendTogether(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	const hosts = 64
	for range 50 {
		var all []time.Time
		for range hosts {
			host, wasTurn := random.Uint32(), true
			for now := start; now.Before(start.Add(30 * time.Second)); now = now.Add(20 * time.Millisecond) {
				isTurn := warmup.IsTurnOf(host, perSecond, 1.0/hosts, now)
				if isTurn && !wasTurn {
					all = append(all, now)
				}
				wasTurn = isTurn
			}
		}
		if most := mostInASecond(all); float64(most) > perSecond*excess+slack {
			t.Errorf("%d hosts have their turn in one second", most)
		}
		if mean := float64(len(all)) / 30; mean < perSecond*0.8 || mean > perSecond*1.2 {
			t.Errorf("the hosts have %v turns a second", mean)
		}
	}
}
