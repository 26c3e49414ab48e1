// Package servicetime averages how long requests take.
package servicetime

import "time"

// minWeight is the lowest weight of the newest duration in the average. With 0.1 it follows a change within about 20
// requests.
const minWeight = 0.1

// Average is an exponential moving average of durations. The zero value has no durations. It is immutable.
type Average struct {
	mean  float64 // in nanoseconds
	count int
}

// With returns the average after one more duration. The first durations are weighted equally.
func (a Average) With(d time.Duration) Average {
	w := max(minWeight, 1/float64(a.count+1))
	return Average{mean: a.mean + w*(float64(d)-a.mean), count: a.count + 1}
}

// Mean returns the average, or fallback if there were no durations.
func (a Average) Mean(fallback time.Duration) time.Duration {
	if a.count == 0 {
		return fallback
	}
	return time.Duration(a.mean)
}

// Count returns the number of durations.
func (a Average) Count() int { return a.count }
