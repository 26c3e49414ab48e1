package pool

import (
	"time"

	"redwingsill/core/instance"
)

// server is one backend server as the pool sees it.
type server struct {
	instance instance.Instance
	life     string
	// running is how many requests of this pool it has, and oldest when the first of them was sent.
	running int
	oldest  time.Time
	// slow is the average of its times relative to the service's, and known of how many.
	slow  float64
	known int
	// failing is the part of recent requests that failed.
	failing float64
	// strikes counts failures in a row that make it rest, until restUntil.
	strikes   int
	restUntil time.Time
	// foreign is how many requests it had from elsewhere at foreignAt.
	foreign   int
	foreignAt time.Time
	// blocked gives, by host, until when that host does not try to reach the server again.
	blocked map[uint32]time.Time
}

// isBlocked reports whether a host could not reach the server lately.
func (s server) isBlocked(host uint32, now time.Time) bool { return now.Before(s.blocked[host]) }

// withUnreachable returns the server after a host could not reach it. When several hosts can't, it rests for all.
func (s server) withUnreachable(host uint32, now time.Time) server {
	blocked := map[uint32]time.Time{host: now.Add(blockedFor)}
	others := 0
	for other, until := range s.blocked {
		if other != host && now.Before(until) {
			blocked[other] = until
			others++
		}
	}
	s.blocked = blocked
	if others+1 >= unreachableHosts {
		return s.withRest(now)
	}
	return s
}

// factor returns how much slower than the average the server is.
func (s server) factor() float64 {
	if s.known == 0 {
		return 1
	}
	return s.slow
}

// free returns how many more requests it can run, of the share that the pool may use.
func (s server) free(share float64, now time.Time) int {
	limit := s.instance.Slots
	if share < 1 {
		limit = max(1, int(float64(limit)*share+0.5))
	}
	if s.strikes > 0 {
		limit = 1
	}
	foreign := s.foreign
	if now.Sub(s.foreignAt) > foreignHold {
		foreign = 0
	}
	return limit - s.running - foreign
}

// expected returns how long work of the given average length takes there.
func (s server) expected(work time.Duration, now time.Time) time.Duration {
	factor := s.factor()
	if now.Before(s.instance.WarmupEnd) {
		factor *= warmFactor
	}
	if s.running > 0 && work > 0 {
		// A request that is long overdue tells of slowness before its answer does.
		factor = max(factor, 0.5*float64(now.Sub(s.oldest))/float64(work))
	}
	return time.Duration(float64(work) * factor / (1 - min(s.failing, 0.9)))
}

// withTime returns the server after an answer that took so many times the average.
func (s server) withTime(relative float64) server {
	w := max(0.15, 1/float64(s.known+1))
	s.slow += w * (relative - s.slow)
	s.known++
	return s
}

func (s server) withFailure(failed bool) server {
	value := 0.0
	if failed {
		value = 1
	}
	s.failing += failureWeight * (value - s.failing)
	return s
}

// withRest returns the server after one more failure that makes it rest.
func (s server) withRest(now time.Time) server {
	rest := restFirst << min(s.strikes, 8)
	s.strikes++
	s.restUntil = now.Add(min(rest, restMost))
	return s
}
