package keyload

import (
	"math"
	"time"
)

// count is a number of requests that decays.
type count struct {
	value float64
	since time.Time
}

func (c count) at(now time.Time) float64 {
	if c.value == 0 {
		return 0
	}
	return c.value * math.Exp2(-now.Sub(c.since).Seconds()/halfLife.Seconds())
}
