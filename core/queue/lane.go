package queue

import (
	"time"

	"github.com/benbjohnson/immutable"

	"redwingsill/core/resource"
)

// callerShare is how many waiting requests of one caller count as one level.
const callerShare = 8

// rateWindow is the time over which a lane's rate of arrivals is averaged.
const rateWindow = time.Second

// lane is the waiting requests of one rank.
type lane struct {
	rank    resource.Rank
	items   *immutable.SortedMap[place, Item]
	callers *immutable.Map[string, int]
	// credit is the work that the rank's floor has earned and not yet received.
	credit float64
	// rate is the arrivals per second that were let in, averaged, as of rateAt.
	rate   float64
	rateAt time.Time
}

func newLane(r resource.Rank) lane {
	return lane{
		rank:    r,
		items:   immutable.NewSortedMap[place, Item](comparer{}),
		callers: immutable.NewMap[string, int](nil),
	}
}

func (l lane) with(i Item) lane {
	waiting, _ := l.callers.Get(i.Request.Caller)
	i.level = waiting / callerShare
	l.items = l.items.Set(placeOf(i), i)
	l.callers = l.callers.Set(i.Request.Caller, waiting+1)
	return l
}

func (l lane) without(i Item) lane {
	if _, ok := l.items.Get(placeOf(i)); !ok {
		return l
	}
	l.items = l.items.Delete(placeOf(i))
	if n, _ := l.callers.Get(i.Request.Caller); n > 1 {
		l.callers = l.callers.Set(i.Request.Caller, n-1)
	} else {
		l.callers = l.callers.Delete(i.Request.Caller)
	}
	return l
}

// withArrival returns the lane with one more arrival at now in its rate.
func (l lane) withArrival(now time.Time) lane {
	l.rate = l.rateAtTime(now) + 1/rateWindow.Seconds()
	l.rateAt = now
	return l
}

func (l lane) rateAtTime(now time.Time) float64 {
	if l.rateAt.IsZero() {
		return 0
	}
	left := 1 - now.Sub(l.rateAt).Seconds()/rateWindow.Seconds()
	return l.rate * max(0, left)
}
