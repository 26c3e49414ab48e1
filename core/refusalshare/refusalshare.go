// Package refusalshare decides which share of the long bodies for a service is refused before they are read, since the service
// has just refused requests. The load that it answers: in a burst, uploads cross a narrow link only to be refused by a service
// that is short of slots.
package refusalshare

import (
	"math"
	"time"
)

const (
	// memory is the time over which outcomes are forgotten. A host sends a service some ten uploads in it.
	memory = 1500 * time.Millisecond
	// maxShare bounds the share that is refused, and relaxation multiplies it: some bodies more than the service takes are
	// let through, so that its room is used and the end of an overload is noticed.
	maxShare   = 0.9
	relaxation = 0.9
	// minPause and maxPause bound how long after a refusal by the service bodies are refused. In the shorter one a host gets
	// some three uploads for a service, so that it hears of the next refusal.
	minPause, maxPause = 400 * time.Millisecond, time.Second
	// minRetryAfter is the shortest Retry-After.
	minRetryAfter = 50 * time.Millisecond
)

// RefusalShare counts what became of the requests of one route for one service on this host. The zero value has seen none. It
// is immutable.
type RefusalShare struct {
	// served, refused and refusedEarly count requests that the service took, that it refused, and that were refused before
	// their body was read. They fall exponentially since at.
	served, refused, refusedEarly float64
	at                            time.Time
	// until is the end of the time in which bodies are refused after the last refusal by the service, and roomAt the time at
	// which the service expected room.
	until, roomAt time.Time
}

// WithServed returns the share after the service has taken a request.
func (s RefusalShare) WithServed(now time.Time) RefusalShare {
	s = s.advancedTo(now)
	s.served++
	return s
}

// WithRefused returns the share after the service has refused a request for overload, with its Retry-After.
func (s RefusalShare) WithRefused(retryAfter time.Duration, now time.Time) RefusalShare {
	s = s.advancedTo(now)
	s.refused++
	s.until, s.roomAt = now.Add(min(max(retryAfter, minPause), maxPause)), now.Add(retryAfter)
	return s
}

// WithRefusedEarly returns the share after a request was refused before its body was read.
func (s RefusalShare) WithRefusedEarly(now time.Time) RefusalShare {
	s = s.advancedTo(now)
	s.refusedEarly++
	return s
}

// Share returns the share of bodies to be refused before they are read. It is below the share of requests that were refused
// lately, and 0 once a pause has passed without another refusal by the service.
func (s RefusalShare) Share(now time.Time) float64 {
	if !now.Before(s.until) {
		return 0
	}
	s = s.advancedTo(now)
	all := s.served + s.refused + s.refusedEarly
	return min(maxShare, relaxation*(s.refused+s.refusedEarly)/all)
}

// RetryAfter returns when a caller that is refused early may return: once the service expects room, spread over as
// much time again. The spread is from 0 to 1.
func (s RefusalShare) RetryAfter(spread float64, now time.Time) time.Duration {
	rest := max(minRetryAfter, s.roomAt.Sub(now))
	return rest + time.Duration(spread*float64(rest))
}

// IsForgotten reports whether nothing of the past has an effect any more.
func (s RefusalShare) IsForgotten(now time.Time) bool { return now.Sub(s.at) > 4*memory }

func (s RefusalShare) advancedTo(now time.Time) RefusalShare {
	if !now.After(s.at) {
		return s
	}
	if !s.at.IsZero() {
		left := math.Exp(-now.Sub(s.at).Seconds() / memory.Seconds())
		s.served, s.refused, s.refusedEarly = s.served*left, s.refused*left, s.refusedEarly*left
	}
	s.at = now
	return s
}
