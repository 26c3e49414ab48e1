package refusalshare_test

import (
	"testing"
	"time"

	"redwingsill/core/refusalshare"
)

const ms = time.Millisecond

var start = time.Unix(1000, 0)

// One refusal must not keep all bodies out, and the end of an overload must be noticed at once.
func TestNoMoreAreRefusedThanWereRefusedLately(t *testing.T) {
	half := refusalshare.RefusalShare{}
	for range 5 {
		half = half.WithServed(1, start).WithRefused(1, 100*ms, start)
	}
	for _, c := range []struct {
		name     string
		share    refusalshare.RefusalShare
		at       time.Duration
		min, max float64
	}{
		{"nothing heard", refusalshare.RefusalShare{}, 0, 0, 0},
		{"only served", refusalshare.RefusalShare{}.WithServed(1, start), 0, 0, 0},
		{"half refused", half, 0, 0.4, 0.5},
		{"half refused a moment ago", half, 300 * ms, 0.4, 0.5},
		{"all refused", refusalshare.RefusalShare{}.WithRefused(1, 100*ms, start), 0, 0.8, 0.9},
		{"the pause has passed", half, 450 * ms, 0, 0},
		{"a longer pause", half.WithRefused(1, 800*ms, start), 700 * ms, 0.4, 0.6},
		{"a pause of a minute", half.WithRefused(1, time.Minute, start), 1100 * ms, 0, 0},
	} {
		if got := c.share.Share(start.Add(c.at)); got < c.min || got > c.max {
			t.Errorf("%s: share %.2f, want %.2f to %.2f", c.name, got, c.min, c.max)
		}
	}
}

// Refusals at the head count toward the share. They must neither keep it up after the overload, nor leave the service's room
// unused during it.
func TestShareFollowsTheService(t *testing.T) {
	for _, c := range []struct {
		name                 string
		takes, offered       int // a second
		minServed, maxServed float64
	}{
		{"no overload", 20, 10, 1, 1},
		{"twice the load", 10, 20, 0.95, 1},
		{"four times the load", 5, 20, 0.95, 1},
	} {
		s, room, served, sent := refusalshare.RefusalShare{}, 1.0, 0, 0
		const seconds = 20
		gap := time.Second / time.Duration(c.offered)
		delay := 200 * ms // the outcome of a request is known so much later
		var outcomes []func(time.Time)
		debt := 0.0
		for i := range seconds * c.offered {
			now := start.Add(time.Duration(i) * gap)
			room = min(2, room+float64(c.takes)/float64(c.offered))
			outcome := func(time.Time) {}
			if debt += s.Share(now); debt >= 1 { // a spread without chance
				debt--
			} else {
				weight := s.Weight(now)
				sent++
				outcome = func(now time.Time) { s = s.WithRefused(weight, 100*ms, now) }
				if room >= 1 {
					room--
					served++
					outcome = func(now time.Time) { s = s.WithServed(weight, now) }
				}
			}
			if outcomes = append(outcomes, outcome); len(outcomes) > int(delay/gap) {
				outcomes[0](now)
				outcomes = outcomes[1:]
			}
		}
		possible := min(c.takes, c.offered) * seconds
		if got := float64(served) / float64(possible); got < c.minServed || got > c.maxServed+0.02 {
			t.Errorf("%s: %.2f of the service's room was used", c.name, got)
		}
		t.Logf("%s: of %d offered %d were read and %d served", c.name, seconds*c.offered, sent, served)
		if c.offered > c.takes && sent-served > (seconds*c.offered-served)/2 {
			t.Errorf("%s: %d bodies were read in vain of %d refused", c.name, sent-served, seconds*c.offered-served)
		}
	}
}

// Callers must not return all at once, nor before the service expects room.
func TestReturnsAreSpread(t *testing.T) {
	s := refusalshare.RefusalShare{}.WithRefused(1, 300*ms, start)
	if first, last := s.RetryAfter(0, start.Add(100*ms)), s.RetryAfter(1, start.Add(100*ms)); first != 200*ms || last != 400*ms {
		t.Errorf("callers return after %v to %v, want 200ms to 400ms", first, last)
	}
}
