package leaseholder

import "time"

const (
	initialServiceTime = 10 * time.Millisecond // assumed before the first response
	smoothingFactor    = 0.05                  // weight of a new response in the moving averages
	responsesPerSlot   = 20                    // responses per slot added during a cold start
	shedPause          = 20 * time.Millisecond // time without new attempts after a shed request
	slotsPerResponse   = 0.02                  // slots regained per response after shedding
)

// limiter estimates the service time of a backend server and limits its concurrency. A cold start begins with one slot
// and adds more as responses arrive. After it, the limit is halved when the server sheds load and rises again slowly
// with each response.
type limiter struct {
	// mean and deviation are moving averages of the service time and of its absolute deviation from the mean.
	mean      time.Duration
	deviation time.Duration
	// limit is the number of usable slots once isWarm is set.
	limit float64
	// isWarm is set at the end of the cold start, when all slots are usable.
	isWarm bool
	// responses is the number of responses since the cold start began.
	responses int
	// pausedUntil is the time before which no request is started, because the server has shed one.
	pausedUntil time.Time
}

// meanServiceTime returns the moving average of the service time, or initialServiceTime before the first response.
func (l limiter) meanServiceTime() time.Duration {
	if l.mean == 0 {
		return initialServiceTime
	}
	return l.mean
}

// highServiceTime returns the mean service time plus two mean deviations, within which most requests end.
func (l limiter) highServiceTime() time.Duration { return l.meanServiceTime() + 2*l.deviation }

// concurrency returns the number of usable slots, at most the declared number.
func (l limiter) concurrency(declared int) float64 {
	if l.isWarm {
		return min(max(1, l.limit), float64(declared))
	}
	return min(float64(1+l.responses/responsesPerSlot), float64(declared))
}

// canStart reports whether another request may be started.
func (l limiter) canStart(running, declared int, now time.Time) bool {
	return running < int(l.concurrency(declared)) && !now.Before(l.pausedUntil)
}

// withResponse returns the limiter after a complete response that took the given time.
func (l limiter) withResponse(took time.Duration, declared int) limiter {
	if l.mean == 0 {
		l.mean = took
	}
	difference := took - l.mean
	l.mean += time.Duration(smoothingFactor * float64(difference))
	l.deviation += time.Duration(smoothingFactor * float64(difference.Abs()-l.deviation))
	l.responses++
	switch {
	case !l.isWarm && l.responses >= responsesPerSlot*(declared-1):
		l.isWarm, l.limit = true, float64(declared)
	case l.isWarm:
		l.limit = min(float64(declared), l.limit+slotsPerResponse)
	}
	return l
}

// withShed returns the limiter after the server refused a request because of overload.
func (l limiter) withShed(now time.Time) limiter {
	if l.isWarm {
		l.limit = max(1, l.limit/2)
	}
	l.pausedUntil = now.Add(shedPause)
	return l
}

// withColdStart returns the limiter at the beginning of a cold start. It keeps the service time estimates.
func (l limiter) withColdStart() limiter {
	return limiter{mean: l.mean, deviation: l.deviation}
}
