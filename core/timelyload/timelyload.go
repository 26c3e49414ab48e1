// Package timelyload shares a service's load out among its servers so that most of it ends within the objective. Its load is an
// everyday one on servers of which a quarter are half as fast: a share by speed alone leaves the slow servers with requests that
// end late, since their work takes longer and their queues have less time left.
package timelyload

import (
	"math"
	"slices"
	"time"
)

const (
	// steps is the number of parts of a server's capacity that are shared out one by one.
	steps = 20
	// classesPerDoubling is the resolution of the servers' work time.
	classesPerDoubling = 6
	// resolution is the difference in the share of requests in time below which parts of capacities are equal, so that servers
	// of about the same speed have about the same load.
	resolution = 0.02
	// evenShare is the part of the load that is shared by capacity alone, so that slow servers keep some keys by which they are
	// measured.
	evenShare = 0.15
	// spread is the standard deviation of the logarithm of a request's work time on one server, moments at which a machine is
	// slow included.
	spread = 0.6
	// usualObjective stands for the objective of requests that have none, as a multiple of their work time.
	usualObjective = 4
)

// Timely shares out load. It is immutable.
type Timely struct {
	serviceTime time.Duration
	objective   time.Duration
}

// New returns a share-out for requests with the given mean service time on a server of average speed, and the time within which
// they should be answered, or 0 if that is not known.
func New(serviceTime, objective time.Duration) Timely {
	if objective <= 0 {
		objective = usualObjective * serviceTime
	}
	return Timely{serviceTime: serviceTime, objective: objective}
}

// Loads returns the load that each server should have of the total. The capacities are how many requests of average duration the
// servers run concurrently, and slots how many they run concurrently. What exceeds all capacities is shared by capacity.
func (t Timely) Loads(slots []int, capacities []float64, total float64) []float64 {
	sum := 0.0
	classes := map[class]float64{} // with the capacity of each class
	classOf := make([]class, len(slots))
	for i, capacity := range capacities {
		sum += capacity
		if capacity > 0 && t.serviceTime > 0 {
			work := float64(t.serviceTime) * float64(slots[i]) / capacity / float64(t.objective)
			classOf[i] = class{slots: slots[i], work: int(math.Round(math.Log2(work) * classesPerDoubling))}
			classes[classOf[i]] += capacity
		}
	}
	loads := make([]float64, len(slots))
	if sum == 0 {
		return loads
	}
	utilisations := t.utilisations(classes, min(total, sum))
	for i, capacity := range capacities {
		loads[i] = capacity * (evenShare*total/sum + (1-evenShare)*utilisations[classOf[i]]*max(1, total/sum))
	}
	return loads
}

// utilisations returns the utilisation of each class of servers at a total load. Parts of the capacity are used in the order of
// how much of their load ends in time.
func (t Timely) utilisations(capacities map[class]float64, total float64) map[class]float64 {
	var parts []part
	for c, capacity := range capacities {
		least := 1.0
		for n := range steps {
			least = min(least, steps*(c.timely(float64(n+1)/steps)-c.timely(float64(n)/steps)))
			parts = append(parts, part{class: c, step: n, timely: math.Round(least/resolution) * resolution, load: capacity / steps})
		}
	}
	slices.SortFunc(parts, part.compare)
	utilisations := make(map[class]float64, len(capacities))
	for _, p := range parts {
		used := min(1, total/p.load)
		utilisations[p.class] += used / steps
		if total -= p.load; total <= 0 {
			break
		}
	}
	return utilisations
}
