package keyload

import (
	"math"
	"time"
)

// count is an exponentially decaying number of requests, valid at updatedAt.
type count struct {
	value     float64
	updatedAt time.Time
}

func (c count) decayedAt(now time.Time) float64 {
	if c.value == 0 {
		return 0
	}
	return c.value * math.Exp2(-now.Sub(c.updatedAt).Seconds()/halfLife.Seconds())
}
