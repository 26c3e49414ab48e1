// Package warmup decides when a cold backend server may get its next request. A server is cold for some seconds after its start
// or a later reset, is then about twice as slow, and crashes well above a rate, of 5 requests a second on a deployment with 44
// servers in each data centre, all of which may turn cold together. The bound holds for all hosts together: in no second may more
// requests reach a cold server than the rate times an excess, plus a slack.
package warmup

import "time"

const (
	// allocators is how many hosts may give out slots of one server at the same time: two after a network partition, while the
	// slot server is replaced, and for requests of a sharded service with and without keys.
	allocators = 2
	// maxDelay is by how much the times between two requests can differ at the host that gives out their slots and at the server: a
	// request may wait for a repeated datagram or a new connection.
	maxDelay = 400 * time.Millisecond
	// lateness is by how much a request may start late without delaying the ones after it. Pools look for requests that may start
	// every 100 ms.
	lateness = 100 * time.Millisecond
)

// Pace spaces the requests to one cold server that one host lets through. It is immutable. The zero value lets one request through
// at once.
type Pace struct {
	// next is when the next request may start.
	next time.Time
}

// New returns the pace of a server that turned cold, or that this host has begun to give out, at now. It has no credit: the first
// request may start after the time between two requests.
func New(rate float64, now time.Time) Pace { return Pace{}.WithoutCredit(rate, now) }

// WithoutCredit returns the pace without any request that could start before the time between two requests has passed since now.
func (p Pace) WithoutCredit(rate float64, now time.Time) Pace {
	if first := now.Add(interval(rate)); first.After(p.next) {
		p.next = first
	}
	return p
}

// MayStart reports whether a request may start at now.
func (p Pace) MayStart(now time.Time) bool { return !now.Before(p.next) }

// WithStart returns the pace after a request started at now. It counts also if it fails or is shed.
func (p Pace) WithStart(rate float64, now time.Time) Pace {
	if earliest := now.Add(-lateness); earliest.After(p.next) {
		p.next = earliest
	}
	p.next = p.next.Add(interval(rate))
	return p
}

// WithReturned returns the pace after a request did not count: it was not sent, or the server doesn't own its key.
func (p Pace) WithReturned(rate float64) Pace {
	p.next = p.next.Add(-interval(rate))
	return p
}

// Rate returns how many requests a second each of the hosts that give out slots of a server may start, so that all together keep
// the bound: in no second more than perSecond*excess+slack requests reach the server. Without a bound it is perSecond.
func Rate(perSecond, excess, slack float64) float64 {
	if excess == 0 && slack == 0 {
		return perSecond
	}
	// In one second at the server one request may come early, and those of a second, maxDelay and lateness follow.
	window := (time.Second + maxDelay + lateness).Seconds()
	return max(minRate, min(perSecond, ((perSecond*excess+slack)/allocators-1)/window))
}

// minRate is the lowest rate in requests a second. A bound below it can't be kept by a host that sends requests at all.
const minRate = 0.1

// IsTurnOf reports whether a host that decides by itself may start a request at now, if it has a share of the rate. Each host's
// turn comes once in the time in which it may start one request, at another moment for each host, and lasts as long as all hosts
// together take for one request. So hosts that have waited for long don't send at the same moment.
func IsTurnOf(host uint32, rate, share float64, now time.Time) bool {
	period := interval(rate * share)
	// A multiple of the golden ratio spreads hosts with similar IDs evenly.
	phase := time.Duration(float64(host*spread) / (1 << 32) * float64(period))
	return (time.Duration(now.UnixNano())+phase)%period < min(period, interval(rate))
}

// spread is 2^32 divided by the golden ratio, rounded to an odd number.
const spread = 2654435769

// interval returns the time between two requests at a rate.
func interval(rate float64) time.Duration {
	return time.Duration(float64(time.Second) / max(rate, 1e-3))
}
