package pausewait_test

import (
	"testing"
	"time"

	"redwingsill/core/pausewait"
)

func TestShortPausesAreWaitedFor(t *testing.T) {
	for _, c := range []struct {
		name        string
		rest, left  time.Duration
		serviceTime time.Duration
		want        bool
	}{
		{"short beside the deadline", 500 * time.Millisecond, 2 * time.Second, 100 * time.Millisecond, false},
		{"half of the deadline", time.Second, 2 * time.Second, 100 * time.Millisecond, false},
		{"more than half of the deadline", 1100 * time.Millisecond, 2 * time.Second, 100 * time.Millisecond, true},
		{"beyond the deadline", 30 * time.Second, 2 * time.Second, 100 * time.Millisecond, true},
		{"too little time after the pause", 100 * time.Millisecond, 250 * time.Millisecond, 400 * time.Millisecond, true},
		{"a deadline that has passed", time.Millisecond, -time.Millisecond, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := pausewait.PauseWait{Rest: c.rest, Left: c.left, ServiceTime: c.serviceTime}
			if w.IsRefused() != c.want {
				t.Errorf("refused: %t, want %t", w.IsRefused(), c.want)
			}
		})
	}
}

func TestRefusedCallersReturnAfterThePauseInOrderOfRank(t *testing.T) {
	const rest, callers = 5 * time.Second, 200
	last := time.Duration(0)
	for rank := range 3 {
		first, latest := time.Hour, time.Duration(0)
		seen := map[time.Duration]int{}
		for ticket := range uint64(callers) {
			after := pausewait.PauseWait{Rest: rest, Rank: rank, Ticket: 7<<32 + ticket}.RetryAfter()
			first, latest = min(first, after), max(latest, after)
			seen[after.Truncate(10*time.Millisecond)]++
		}
		if first < rest || first < last {
			t.Errorf("rank %d returns after %v, want at least %v and no earlier than the ranks before, %v", rank, first, rest, last)
		}
		for slot, count := range seen {
			if count > callers/5 {
				t.Errorf("rank %d: %d of %d callers return within 10 ms of %v", rank, count, callers, slot)
			}
		}
		last = latest
	}
}
