package linkload

import (
	"math"
	"time"
)

// trafficRate is a rate in bytes a second, averaged over rateWindow. The zero value is 0. It is immutable.
type trafficRate struct {
	rate  float64
	since time.Time
}

// with returns the rate after further bytes.
func (r trafficRate) with(bytes float64, now time.Time) trafficRate {
	next := trafficRate{rate: r.at(now) + bytes/rateWindow.Seconds(), since: now}
	if now.Before(r.since) {
		next.since = r.since
	}
	return next
}

// at returns the rate at a time, if there was no traffic since the last.
func (r trafficRate) at(now time.Time) float64 {
	return r.rate * math.Exp(-max(0, now.Sub(r.since).Seconds())/rateWindow.Seconds())
}
