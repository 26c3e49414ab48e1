package admission_test

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"redwingsill/core/admission"
)

// way is a way to decide who waits, who runs first and who is refused, at one server that alone can run its requests.
type way struct {
	name string
	// usesOwnTime estimates with the service time measured at the server, rather than the mean of all servers.
	usesOwnTime bool
	// margin is the multiple of the mean deviation that is added to the service time when an answer counts as in time.
	margin float64
	// refusesLate refuses, at arrival, a request that is expected to end late, unless the server can start it within lateShare of
	// the time left to its deadline.
	refusesLate bool
	lateShare   float64
	// isNewestFirst runs the newest of the requests that can be in time.
	isNewestFirst bool
	// isBuilt decides as the package does.
	isBuilt bool
}

// load is what a server is asked for.
type load struct {
	work, objective, deadline time.Duration
	speed, spread, offered    float64
}

// result counts what callers got, as shares of all callers.
type result struct{ inTime, late, refused, waited float64 }

// value weighs a late answer with a quarter of one in time.
func (r result) value() float64 { return r.inTime + 0.25*r.late }

// asked is a caller's request.
type asked struct {
	first, arrived, end int // milliseconds
	isReturn            bool
}

// ms returns a number of milliseconds as a duration.
func ms(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

// play runs a minute of a load on three slots. Refused callers return once, after the time when room is expected.
func play(w way, l load, seed uint64) result {
	const slots, length = 3, 60_000
	random := rand.New(rand.NewPCG(seed, 1))
	base := l.work.Seconds() * 1000
	objective, deadline := int(l.objective.Milliseconds()), int(l.deadline.Milliseconds())
	sigma := math.Sqrt(math.Log(1 + l.spread*l.spread))
	mean, deviation := base/l.speed, l.spread*base/l.speed
	rate := l.offered * slots * l.speed / base // requests a millisecond
	noisyUntil, noisyFrom := 0, random.IntN(3200)
	var waiting, running []*asked
	returns := map[int][]*asked{}
	const weight, halfLife = 0.1, 1000.0
	recent, recentAt := 0.0, 0
	var total, inTime, late, refused, waited int
	refuse := func(r *asked, now int, room float64) {
		if now-r.arrived > 20 {
			waited++
		}
		if left := r.first + deadline - now; !r.isReturn && room <= float64(left)/3 {
			at := now + max(1, int(room)) + random.IntN(100)
			returns[at] = append(returns[at], &asked{first: r.first, arrived: at, isReturn: true})
			return
		}
		refused++
	}
	for now := range length + 5000 {
		if now >= noisyFrom { // a fifth of the time, in spells of 400 ms
			noisyUntil, noisyFrom = now+400, now+400+random.IntN(3200)
		}
		running = slices.DeleteFunc(running, func(r *asked) bool {
			if now < r.end {
				return false
			}
			if now-r.first <= objective {
				inTime++
			} else {
				late++
			}
			return true
		})
		serviceTime := base
		if w.usesOwnTime {
			serviceTime = mean + w.margin*deviation
		}
		isInTime := func(r *asked, at float64) bool { return at+serviceTime <= float64(r.arrived+objective) }
		arrivals := returns[now]
		if now < length && random.Float64() < rate {
			total++
			arrivals = append(arrivals, &asked{first: now, arrived: now})
		}
		for _, r := range arrivals {
			recent = recent*math.Exp2(-float64(now-recentAt)/halfLife) + 1
			recentAt = now
			measuredLoad := recent * math.Ln2 / halfLife * mean / slots
			ahead := 0
			for _, o := range waiting {
				if isInTime(o, float64(now)) {
					ahead++
				}
			}
			wait := 0.0
			if len(running) == slots {
				wait = mean/(slots+1) + float64(ahead)*mean/slots
			}
			a := admission.Admission{Wait: ms(wait), ServiceTime: ms(mean), Deviation: ms(deviation), ToObjective: l.objective, ToDeadline: l.deadline,
				Load: measuredLoad}
			switch {
			case w.isBuilt && a.IsRefused():
				refuse(r, now, a.RetryAfter(uint64(total)).Seconds()*1000)
			case len(running) == slots && wait+mean/2 > float64(deadline):
				refuse(r, now, wait+mean-float64(deadline))
			case w.refusesLate && len(running) == slots && !isInTime(r, float64(now)+wait) &&
				mean/(slots+1)+float64(len(waiting))*mean/slots+mean > w.lateShare*float64(deadline):
				refuse(r, now, max(50, float64(now)+wait+serviceTime-float64(r.arrived+objective)))
			default:
				waiting = append(waiting, r)
			}
		}
		for len(running) < slots && len(waiting) > 0 {
			slices.SortStableFunc(waiting, func(a, b *asked) int {
				order := cmp.Compare(a.arrived, b.arrived)
				switch x, y := isInTime(a, float64(now)), isInTime(b, float64(now)); {
				case x != y && x:
					return -1
				case x != y:
					return 1
				case x && w.isNewestFirst:
					return -order
				}
				return order
			})
			r := waiting[0]
			waiting = waiting[1:]
			took := base / l.speed * math.Exp(random.NormFloat64()*sigma-sigma*sigma/2)
			if now < noisyUntil {
				took *= 3
			}
			r.end = now + max(1, int(took))
			mean += weight * (took - mean)
			deviation += weight * (math.Abs(took-mean) - deviation)
			running = append(running, r)
		}
		if now%50 == 0 {
			done := 0
			waiting = slices.DeleteFunc(waiting, func(r *asked) bool {
				if wait := mean/(slots+1) + float64(done)*mean/slots; float64(now)+wait+mean/2 > float64(r.arrived+deadline) {
					refuse(r, now, mean)
					return true
				}
				done++
				return false
			})
		}
	}
	n := float64(total)
	return result{inTime: float64(inTime) / n, late: float64(late) / n, refused: float64(refused) / n, waited: float64(waited) / n}
}

var ways = []way{
	{name: "as before"},
	{name: "own time", usesOwnTime: true},
	{name: "own time, newest first", usesOwnTime: true, isNewestFirst: true},
	{name: "refuse late", usesOwnTime: true, refusesLate: true},
	{name: "refuse late, margin 0.5", usesOwnTime: true, refusesLate: true, margin: 0.5},
	{name: "refuse late, margin 1", usesOwnTime: true, refusesLate: true, margin: 1},
	{name: "the same, newest first", usesOwnTime: true, refusesLate: true, margin: 1, isNewestFirst: true},
	{name: "late start within 0.5", usesOwnTime: true, refusesLate: true, margin: 1, lateShare: 0.5},
	{name: "built", usesOwnTime: true, margin: 0.5, isBuilt: true},
}

// meanOf plays a load at servers of three speeds with little and much spread.
func meanOf(w way, l load) result {
	var sum result
	const seeds = 4
	for _, l.speed = range []float64{0.5, 1, 1.5} {
		for _, l.spread = range []float64{0.3, 0.8} {
			for seed := range uint64(seeds) {
				r := play(w, l, seed)
				sum = result{sum.inTime + r.inTime, sum.late + r.late, sum.refused + r.refused, sum.waited + r.waited}
			}
		}
	}
	const n = 6 * seeds
	return result{sum.inTime / n, sum.late / n, sum.refused / n, sum.waited / n}
}

// Under overload requests must not wait until they are just too late, nor be refused after a wait, and without overload the decisions
// must cost nothing notable. The table of all ways is logged.
func TestBuiltWayServesMoreInTimeUnderOverload(t *testing.T) {
	for _, l := range []load{{work: 160 * time.Millisecond, objective: 500 * time.Millisecond, deadline: 1200 * time.Millisecond},
		{work: 310 * time.Millisecond, objective: 1200 * time.Millisecond, deadline: 2500 * time.Millisecond}} {
		for _, l.offered = range []float64{0.5, 0.9, 1.2, 1.5, 2, 3} {
			results := map[string]result{}
			for _, w := range ways {
				if w.name != "as before" && !w.isBuilt && !testing.Verbose() {
					continue
				}
				r := meanOf(w, l)
				results[w.name] = r
				t.Logf("| %v | %.1f | %s | %.2f | %.2f | %.2f | %.2f | %.2f |", l.work, l.offered, w.name, r.inTime, r.late, r.refused, r.waited, r.value())
			}
			before, built := results["as before"], results["built"]
			if built.inTime < before.inTime-0.025 || built.waited > before.waited {
				t.Errorf("work %v, load %.1f: %+v, before %+v", l.work, l.offered, built, before)
			}
			if l.offered >= 1.5 && built.inTime < 1.4*before.inTime {
				t.Errorf("work %v, load %.1f: %.2f in time, want 1.4 times %.2f", l.work, l.offered, built.inTime, before.inTime)
			}
		}
	}
}
