package keyload

import (
	"math"
	"time"
)

// count is a number of requests that decays exponentially, once with halfLife and once with shortHalfLife, valid at updatedAt.
type count struct {
	value     float64
	recent    float64
	updatedAt time.Time
}

func (c count) decayedAt(now time.Time) count {
	if c.value == 0 {
		return count{updatedAt: now}
	}
	decay := math.Exp2(-now.Sub(c.updatedAt).Seconds() / halfLife.Seconds())
	fast := decay
	for range shortHalfLifeDivisor - 1 {
		fast *= decay
	}
	return count{value: c.value * decay, recent: c.recent * fast, updatedAt: now}
}
