// Package servicetime averages how long requests take.
package servicetime

import "time"

// weight is the part of the newest figure in the average. A tenth follows a change within some 20 requests.
const weight = 0.1

// Average is a moving average of durations. The zero value knows nothing. It is immutable.
type Average struct {
	mean  float64
	count int
}

// With returns the pace after one more duration.
func (p Average) With(d time.Duration) Average {
	w := max(weight, 1/float64(p.count+1))
	return Average{mean: p.mean + w*(float64(d)-p.mean), count: p.count + 1}
}

// Mean returns the average, or the given duration while nothing is known.
func (p Average) Mean(unknown time.Duration) time.Duration {
	if p.count == 0 {
		return unknown
	}
	return time.Duration(p.mean)
}

// Count returns how many durations there were.
func (p Average) Count() int { return p.count }
