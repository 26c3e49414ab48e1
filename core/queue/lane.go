package queue

import (
	"time"

	"github.com/benbjohnson/immutable"

	"redwingsill/core/queueitem"
	"redwingsill/core/resource"
)

// callerShare is how many requests a caller may have in one turn. Within a turn the earliest deadline goes first. With 4
// the flood measurement refuses 0.3% of the worth in calm phases.
const callerShare = 1

// rateWindow is the time over which a lane's rate of arrivals is averaged.
const rateWindow = time.Second

// lane is the waiting requests of one rank.
type lane struct {
	rank    resource.Rank
	items   *immutable.SortedMap[place, queueitem.QueueItem]
	callers *immutable.Map[string, turns]
	// turn is the turn of the newest request that was started.
	turn int
	// credit is the work that the rank's floor has earned and not yet received.
	credit float64
	// rate is the arrivals per second that were let in, averaged, as of rateAt.
	rate   float64
	rateAt time.Time
}

func newLane(r resource.Rank) lane {
	return lane{
		rank:    r,
		items:   immutable.NewSortedMap[place, queueitem.QueueItem](comparer{}),
		callers: immutable.NewMap[string, turns](nil),
	}
}

func (l lane) with(i queueitem.QueueItem) lane {
	t := l.next(i.Request.Caller)
	i.Turn = t.turn()
	if l.items.Len() == 0 {
		l = l.started(i.Turn)
	}
	l.items = l.items.Set(placeOf(i), i)
	l.callers = l.callers.Set(i.Request.Caller, t)
	return l
}

// next returns a caller's turns after one more request. A caller that had nothing waiting joins in the present turn.
func (l lane) next(caller string) turns {
	t, _ := l.callers.Get(caller)
	return turns{waiting: t.waiting + 1, taken: max(t.taken, l.turn*callerShare) + 1}
}

// aheadOf returns how many requests may go before a caller's next one while all callers take turns.
func (l lane) aheadOf(caller string) int {
	if l.items.Len() == 0 {
		return 0
	}
	return (l.next(caller).turn() - l.turn) * l.callers.Len() * callerShare
}

func (l lane) without(i queueitem.QueueItem) lane {
	if _, ok := l.items.Get(placeOf(i)); !ok {
		return l
	}
	l.items = l.items.Delete(placeOf(i))
	t, _ := l.callers.Get(i.Request.Caller)
	t.waiting--
	l.callers = l.callers.Set(i.Request.Caller, t)
	return l
}

// started returns the lane after an item of a turn was started. When a turn ends, callers that have nothing waiting and
// no place in a later turn are forgotten.
func (l lane) started(turn int) lane {
	if turn <= l.turn {
		return l
	}
	l.turn = turn
	for itr := l.callers.Iterator(); !itr.Done(); {
		if caller, t, _ := itr.Next(); t.waiting == 0 && t.taken <= turn*callerShare {
			l.callers = l.callers.Delete(caller)
		}
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
