package pool

import (
	"time"

	"redwingsill/core/attemptresult"
	"redwingsill/core/instance"
	"redwingsill/core/warmup"
)

// withInstance returns the server as an instance describes it, with a new pace, without credit, if it has turned cold.
func (s server) withInstance(i instance.Instance, now time.Time) server {
	if i.IsColdLimited(now) && !s.instance.IsColdLimited(now) {
		s.pace = warmup.New(i.ColdRate, now)
	}
	s.instance, s.incarnation = i, i.Incarnation()
	return s
}

// mayStart reports whether a request of a host may start on the server, which may be cold, at now. The host is that of the request; a
// pool with a share is asked only by its own host.
func (s server) mayStart(host uint32, share float64, now time.Time) bool {
	if !s.instance.IsColdLimited(now) {
		return true
	}
	if share < 1 && !warmup.IsTurnOf(host, s.instance.ColdRate, share, now) {
		return false
	}
	return s.pace.MayStart(now)
}

// mayStartAny reports whether a request of some host may start on the server at now.
func (s server) mayStartAny(now time.Time) bool {
	return !s.instance.IsColdLimited(now) || s.pace.MayStart(now)
}

// withColdStart returns the server after a request started.
func (s server) withColdStart(share float64, now time.Time) server {
	if s.instance.IsColdLimited(now) {
		s.pace = s.pace.WithStart(s.instance.ColdRate*min(1, share), now)
	}
	return s
}

// withColdResult returns the server after an attempt ended. One that was not sent, or that the server refused since it doesn't own
// the key, does not count.
func (s server) withColdResult(status attemptresult.Status, now time.Time) server {
	if s.instance.IsColdLimited(now) && (status == attemptresult.NotOwner || status == attemptresult.Unsent) {
		s.pace = s.pace.WithReturned(s.instance.ColdRate)
	}
	return s
}

// withoutColdCredit returns the pool without credit at cold servers if the new share is larger: this host then begins to give out the
// slots of the service for others, and the host before it may just have used the rate of the cold servers.
func (p Pool) withoutColdCredit(share float64, now time.Time) Pool {
	if share <= p.share {
		return p
	}
	for n, s := range p.servers {
		if s.instance.IsColdLimited(now) {
			next := *s
			next.pace = next.pace.WithoutCredit(next.instance.ColdRate, now)
			p = p.withServer(n, next)
		}
	}
	return p
}

// coldConcurrency returns the server's concurrency, or that to which the rate of its requests bounds it while it is cold.
func (s server) coldConcurrency(concurrency float64, meanServiceTime time.Duration, now time.Time) float64 {
	if !s.instance.IsColdLimited(now) {
		return concurrency
	}
	return min(concurrency, s.instance.ColdRate*meanServiceTime.Seconds())
}
