// Package slowdown holds how much slower than usual a machine is at the moment. Machines shared with other work become several
// times slower for some hundred milliseconds, which says nothing of their speed later.
package slowdown

import "time"

const (
	// lifetime is how long a reported slowdown counts. Machines keep a speed for about 400 ms, and a report comes on average
	// in the middle of that time.
	lifetime = 200 * time.Millisecond
	// minPercent and maxPercent bound a plausible report.
	minPercent, maxPercent = 10, 10000
	// minNotable is the distance to the usual speed from which a slowdown is worth a message to another host.
	minNotable = 0.2
)

// Slowdown is a factor by which work takes longer than usual, and when it was reported. The zero value is the usual speed. It is
// immutable.
type Slowdown struct {
	factor     float64
	reportedAt time.Time
}

// New returns the slowdown that a server reported at a time, in percent of the usual time. Values that are not plausible count as
// the usual speed.
func New(percent int, at time.Time) Slowdown {
	if percent < minPercent || percent > maxPercent {
		return Slowdown{}
	}
	return Slowdown{factor: float64(percent) / 100, reportedAt: at}
}

// IsNotable reports whether the slowdown in percent differs enough from the usual speed to be told to another host.
func IsNotable(percent int) bool {
	f := New(percent, time.Time{}).reported()
	return f > 1+minNotable || f < 1-minNotable
}

// reported returns the factor, whatever its age.
func (s Slowdown) reported() float64 {
	if s.factor == 0 {
		return 1
	}
	return s.factor
}

// Factor returns the factor at now. An old report says nothing.
func (s Slowdown) Factor(now time.Time) float64 {
	if now.Sub(s.reportedAt) > lifetime {
		return 1
	}
	return s.reported()
}

// Extra returns by how much longer than usual work that starts now is expected to take: it is slower until the report's lifetime
// ends.
func (s Slowdown) Extra(usual time.Duration, now time.Time) time.Duration {
	factor := s.Factor(now)
	if factor <= 1 {
		return 0
	}
	rest := float64(lifetime - now.Sub(s.reportedAt))
	return time.Duration(min((factor-1)*float64(usual), (1-1/factor)*rest))
}

// Usual returns the time that work which took the given time would have taken at the usual speed, given the factors at its start
// and its end. The mean of both comes nearer to it than the factor at the end, since about half of the slow moments that work meets
// begin or end meanwhile.
func Usual(took time.Duration, atStart, atEnd float64) time.Duration {
	return time.Duration(float64(took) / ((atStart + atEnd) / 2))
}
