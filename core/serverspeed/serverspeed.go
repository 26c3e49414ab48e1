// Package serverspeed estimates how many requests the backend servers of one service can run, from their response times. Its
// load is one in which a fifth of the machines are three times slower for a moment, while others are slow for good: keys are
// shared by the speed that lasts, since each moment's speed would move them back and forth.
package serverspeed

import (
	"math"
	"time"

	"redwingsill/core/instance"
)

const (
	// halfLife is the time in which an estimate takes in half of a change. It is several times the 400 ms for which a machine
	// is slow for a moment.
	halfLife = 2 * time.Second
	// minSlowness and maxSlowness bound the slowness by which a server's slots are divided to get its capacity, so that a
	// single outlier moves few keys. The slowness is the response time relative to the service's average.
	minSlowness = 0.5
	maxSlowness = 4
)

// Speeds is the slowness of each incarnation over some seconds, relative to a server of average speed, and the service time
// there. It is immutable.
type Speeds struct {
	slowness    map[string]float64
	serviceTime time.Duration
	updatedAt   time.Time
}

// New returns speeds without any measurement.
func New() Speeds { return Speeds{} }

// With returns the speeds after the servers' response times of the moment, relative to the given mean service time. Only the
// products of the two are measured: the factors drift apart, so they are taken relative to the mean speed of all servers. Each
// server's first measurement counts as it is. Servers that are not in the map are dropped.
func (s Speeds) With(slowness map[string]float64, meanServiceTime time.Duration, now time.Time) Speeds {
	if len(slowness) == 0 {
		return s
	}
	speed := 0.0
	for _, measured := range slowness {
		speed += 1 / max(math.SmallestNonzeroFloat32, measured) / float64(len(slowness))
	}
	weight := 1 - math.Exp2(-now.Sub(s.updatedAt).Seconds()/halfLife.Seconds())
	next := Speeds{slowness: make(map[string]float64, len(slowness)), serviceTime: time.Duration(float64(meanServiceTime) / speed), updatedAt: now}
	if s.serviceTime > 0 {
		next.serviceTime = s.serviceTime + time.Duration(weight*float64(next.serviceTime-s.serviceTime))
	}
	for incarnation, measured := range slowness {
		measured = min(maxSlowness, measured*speed)
		earlier, ok := s.slowness[incarnation]
		if !ok {
			earlier = measured
		}
		next.slowness[incarnation] = earlier + weight*(measured-earlier)
	}
	return next
}

// ServiceTime returns the mean duration of a request on a server of average speed.
func (s Speeds) ServiceTime() time.Duration { return s.serviceTime }

// Capacities returns, by incarnation, how many requests of average duration each backend server runs concurrently.
func (s Speeds) Capacities(members []instance.Instance) map[string]float64 {
	all := make(map[string]float64, len(members))
	for _, m := range members {
		slowness, ok := s.slowness[m.Incarnation()]
		if !ok {
			slowness = 1
		}
		all[m.Incarnation()] = float64(m.Slots) / min(maxSlowness, max(minSlowness, slowness))
	}
	return all
}
