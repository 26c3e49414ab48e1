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
	// served counts the requests that the service took, and offered all that are known of, those refused early included. Both
	// fall exponentially since at.
	served, offered float64
	at              time.Time
	// until is the end of the time in which bodies are refused after the last refusal by the service, and roomAt the time at
	// which the service expected room.
	until, roomAt time.Time
}

// WithServed returns the share after the service has taken a request. The weight is the one that [RefusalShare.Weight] returned when
// the body was let through.
func (s RefusalShare) WithServed(weight float64, now time.Time) RefusalShare {
	s = s.advancedTo(now)
	s.served++
	s.offered += weight
	return s
}

// WithRefused returns the share after the service has refused a request for overload, with its Retry-After and weight.
func (s RefusalShare) WithRefused(weight float64, retryAfter time.Duration, now time.Time) RefusalShare {
	s = s.advancedTo(now)
	s.offered += weight
	s.until, s.roomAt = now.Add(min(max(retryAfter, minPause), maxPause)), now.Add(retryAfter)
	return s
}

// Share returns the share of bodies to be refused before they are read. It is below the share of requests that were refused
// lately, and 0 once a pause has passed without another refusal by the service.
func (s RefusalShare) Share(now time.Time) float64 {
	if !now.Before(s.until) {
		return 0
	}
	return min(maxShare, relaxation*(1-s.served/s.offered))
}

// Weight returns for how many requests one stands that is let through now: it and those that are refused early meanwhile. The
// share can thus be computed from outcomes alone, which are known only later.
func (s RefusalShare) Weight(now time.Time) float64 { return 1 / (1 - s.Share(now)) }

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
		s.served, s.offered = s.served*left, s.offered*left
	}
	s.at = now
	return s
}
