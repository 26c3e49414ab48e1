package timelyload

import "math"

// class is servers that are alike: those with the same number of slots and about the same work time.
type class struct {
	slots int
	// work is the logarithm of the mean work time of a request relative to the objective.
	work int
}

// timely returns how much load ends within the objective at a utilisation, as a fraction of the capacity.
func (c class) timely(utilisation float64) float64 {
	work := math.Exp2(float64(c.work) / classesPerDoubling)
	// The work times are taken to have a lognormal distribution.
	inTime := math.Erfc((math.Log(work)/spread-spread/2)/math.Sqrt2) / 2
	return utilisation * inTime * (1 - c.waitsLonger(utilisation, max(0, 1-work)/work))
}

// waitsLonger returns the probability that a request waits longer than a multiple of the work time, by the approximation of
// Sakasegawa for queues with several slots and by an exponential tail.
func (c class) waitsLonger(utilisation, multiple float64) float64 {
	slots := float64(max(1, c.slots))
	variation := math.Exp(spread*spread) - 1 // of the work times, squared
	return math.Pow(utilisation, math.Sqrt(2*(slots+1))-1) * math.Exp(-2*slots*(1-utilisation)*multiple/(1+variation))
}
