package pool

import (
	"maps"
	"slices"
	"time"

	"redwingsill/core/instance"
	"redwingsill/core/warmup"
)

// server is the pool's state of one backend server.
type server struct {
	instance    instance.Instance
	incarnation string
	// starts has the time of each slot that the pool has given out, in no order. It is copied on write.
	starts []time.Time
	// slowness is the moving average of response times relative to the mean service time of their rank, and samples the
	// number of these response times.
	slowness float64
	samples  int
	// failureRate is the moving average of failed requests, from 0 to 1.
	failureRate float64
	// backoffs counts the failures in a row that caused a backoff. The server gets no requests until backoffUntil.
	backoffs     int
	backoffUntil time.Time
	// externalRequests is how many requests the server had at externalAt that did not come through this pool.
	externalRequests int
	externalAt       time.Time
	// pace spaces the requests that start while the server is cold and their rate is bounded.
	pace warmup.Pace
	// slowAnswers counts the slow or failed answers in a row, the first and last of which came at slowSince and lastSlowAt.
	// usualTime is the moving average of the response times that were not slow.
	slowAnswers int
	slowSince   time.Time
	lastSlowAt  time.Time
	usualTime   time.Duration
	// blockedUntil gives, by entry host, until when that host gets no slots here, since it could not connect. An answer
	// to any host clears it.
	blockedUntil map[uint32]time.Time
	// pausedUntil gives, by entry host, until when the server wants no requests from that host. The host's entry stays for
	// some time after that, or until an answer to it. Answers to other hosts don't clear it.
	pausedUntil map[uint32]time.Time
}

// isBlockedFor reports whether a host gets no slots at the server, since it recently could not connect, or since the server
// wants no requests from it.
func (s server) isBlockedFor(host uint32, now time.Time) bool {
	return now.Before(s.blockedUntil[host]) || s.isPausedFor(host, now)
}

// isPausedFor reports whether the server wants no requests from a host.
func (s server) isPausedFor(host uint32, now time.Time) bool { return now.Before(s.pausedUntil[host]) }

// isReturning reports whether a pause for a host has just ended and no answer to it has come since.
func (s server) isReturning(host uint32, now time.Time) bool {
	until, ok := s.pausedUntil[host]
	return ok && !now.Before(until) && now.Before(until.Add(returnTime))
}

// withPause returns the server after it asked for a pause for a host. Of several such times the latest counts.
func (s server) withPause(host uint32, pause time.Duration, now time.Time) server {
	paused := map[uint32]time.Time{}
	for other, until := range s.pausedUntil {
		if now.Before(until.Add(returnTime)) {
			paused[other] = until
		}
	}
	if until := now.Add(pause); until.After(paused[host]) {
		paused[host] = until
	}
	s.pausedUntil = paused
	return s
}

// withReturned returns the server after an answer to a host. A pause that has not ended stays.
func (s server) withReturned(host uint32, now time.Time) server {
	if until, ok := s.pausedUntil[host]; ok && !now.Before(until) {
		s.pausedUntil = maps.Clone(s.pausedUntil)
		delete(s.pausedUntil, host)
	}
	return s
}

// withUnreachable returns the server after a host could not connect to it. The server is blocked for that host, and backs
// off for all hosts once [minUnreachableHosts] hosts are blocked.
func (s server) withUnreachable(host uint32, now time.Time) server {
	blocked := map[uint32]time.Time{host: now.Add(hostBlockTime)}
	others := 0
	for other, until := range s.blockedUntil {
		if other != host && now.Before(until) {
			blocked[other] = until
			others++
		}
	}
	s.blockedUntil = blocked
	if others+1 >= minUnreachableHosts {
		return s.withBackoff(now)
	}
	return s
}

// running returns the number of slots that the pool has given out.
func (s server) running() int { return len(s.starts) }

// withStart returns the server after a slot was given out.
func (s server) withStart(at time.Time) server {
	s.starts = append(slices.Clip(s.starts), at)
	return s
}

// withoutStart returns the server after a slot that was given out at a time was freed.
func (s server) withoutStart(at time.Time) server {
	if n := slices.IndexFunc(s.starts, at.Equal); n >= 0 {
		s.starts = slices.Delete(slices.Clone(s.starts), n, n+1)
	}
	return s
}

// oldestStart returns when the oldest slot in use was given out. There must be one.
func (s server) oldestStart() time.Time { return slices.MinFunc(s.starts, time.Time.Compare) }

// slownessFactor returns the server's slowness, or 1 before any response time was measured.
func (s server) slownessFactor() float64 {
	if s.samples == 0 {
		return 1
	}
	return s.slowness
}

// freeSlots returns how many more requests the server can run, given the share of its slots that the pool may give out.
// The pool may give out at least one slot, however small its share, and only one after a backoff until an answer comes. The
// result may be negative.
func (s server) freeSlots(share float64, now time.Time) int {
	limit := s.instance.Slots
	if share < 1 {
		limit = max(1, int(float64(limit)*share+0.5))
	}
	if s.backoffs > 0 {
		limit = 1
	}
	external := s.externalRequests
	if now.Sub(s.externalAt) > externalCountLifetime {
		external = 0
	}
	return limit - s.running() - external
}

// expectedTime returns how long a request with the given average service time takes on the server, including retries
// after failures.
func (s server) expectedTime(serviceTime time.Duration, now time.Time) time.Duration {
	factor := s.slownessFactor()
	if now.Before(s.instance.WarmUpEnd) {
		factor *= warmUpFactor
	}
	if s.running() > 0 && serviceTime > 0 {
		// An overdue request shows that the server is slow before its answer arrives.
		factor = max(factor, overdueFactor*float64(now.Sub(s.oldestStart()))/float64(serviceTime))
	}
	return time.Duration(float64(serviceTime) * factor / (1 - min(s.failureRate, maxCountedFailureRate)))
}

// withResponseTime returns the server after an answer with the given response time, relative to the mean service time of
// the request's rank.
func (s server) withResponseTime(relativeTime float64) server {
	w := max(minSlownessWeight, 1/float64(s.samples+1))
	s.slowness += w * (relativeTime - s.slowness)
	s.samples++
	return s
}

// withAttempt returns the server with one more successful or failed attempt in its failure rate.
func (s server) withAttempt(failed bool) server {
	value := 0.0
	if failed {
		value = 1
	}
	s.failureRate += failureWeight * (value - s.failureRate)
	return s
}

// withBackoff returns the server after one more failure in a row. It gets no requests for minBackoff after the first one,
// and for twice as long after each further one, up to maxBackoff.
func (s server) withBackoff(now time.Time) server {
	backoff := minBackoff << min(s.backoffs, 8) // bounded, so that the shift does not overflow
	s.backoffs++
	s.backoffUntil = now.Add(min(backoff, maxBackoff))
	return s
}
