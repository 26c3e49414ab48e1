// Package clock reads the machine's clock.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells a time that never runs backwards and goes on while the machine is suspended, which Go's monotonic clock
// does not.
type Clock struct {
	wall time.Time
	boot time.Duration
}

// New returns a clock that agrees with the wall clock now.
func New() Clock {
	return Clock{wall: time.Now().Round(0), boot: sinceBoot()}
}

// Now returns the present time.
func (c Clock) Now() time.Time { return c.wall.Add(sinceBoot() - c.boot) }

func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err)
	}
	return time.Duration(ts.Nano())
}
