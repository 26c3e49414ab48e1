// Package clock provides a monotonic clock that includes the time during which the machine is suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock is a monotonic clock that keeps running while the machine is suspended, which Go's monotonic clock does not.
// It reads CLOCK_BOOTTIME.
type Clock struct {
	// wall is the wall clock time at which the clock was made, and boot the time since the machine's boot at that moment.
	wall time.Time
	boot time.Duration
}

// New returns a clock set to the current wall clock time. It does not follow later changes of the wall clock.
func New() Clock {
	return Clock{wall: time.Now().Round(0), boot: sinceBoot()}
}

// Now returns the current time of the clock.
func (c Clock) Now() time.Time { return c.wall.Add(sinceBoot() - c.boot) }

// sinceBoot returns the time since the machine was booted, suspend included. It panics if the clock cannot be read.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err)
	}
	return time.Duration(ts.Nano())
}
