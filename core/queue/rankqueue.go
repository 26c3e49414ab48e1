package queue

import (
	"time"

	"github.com/benbjohnson/immutable"

	"redwingsill/core/queueitem"
	"redwingsill/core/resource"
)

// requestsPerTurn is how many requests of a caller are in one turn. Within a turn the earliest deadline goes first.
// With 4, the benchmark in core/measure/flood refuses requests with 0.3% of the total worth at normal load, its phase
// Calm.
const requestsPerTurn = 1

// arrivalRateWindow is the window over which arrival rates are averaged.
const arrivalRateWindow = time.Second

// rankQueue holds the waiting requests of one rank. Callers take turns, so that none can starve the others.
type rankQueue struct {
	rank    resource.Rank
	items   *immutable.SortedMap[sortKey, queueitem.QueueItem]
	callers *immutable.Map[string, callerTurns]
	// turn is the current turn: the highest turn of a request that was dispatched or was added to the empty queue.
	turn int
	// credit is the number of requests that the rank may run ahead of more urgent ranks, earned by its floor.
	credit float64
	// rate is the averaged number of accepted requests per second as of rateAt.
	rate   float64
	rateAt time.Time
}

func newRankQueue(r resource.Rank) rankQueue {
	return rankQueue{
		rank:    r,
		items:   immutable.NewSortedMap[sortKey, queueitem.QueueItem](comparer{}),
		callers: immutable.NewMap[string, callerTurns](nil),
	}
}

// with returns the queue with one more item in the caller's next turn.
func (q rankQueue) with(i queueitem.QueueItem) rankQueue {
	t := q.nextTurns(i.Request.Caller)
	i.Turn = t.latestTurn()
	if q.items.Len() == 0 {
		q = q.withTurnStarted(i.Turn)
	}
	q.items = q.items.Set(sortKeyOf(i), i)
	q.callers = q.callers.Set(i.Request.Caller, t)
	return q
}

// nextTurns returns a caller's turns after one more request. The request gets the caller's next place, but none in a turn
// before the current one.
func (q rankQueue) nextTurns(caller string) callerTurns {
	t, _ := q.callers.Get(caller)
	return callerTurns{waiting: t.waiting + 1, assigned: max(t.assigned, q.turn*requestsPerTurn) + 1}
}

// aheadOf returns how many requests may run before a caller's next request if all callers use all places in their turns.
func (q rankQueue) aheadOf(caller string) int {
	if q.items.Len() == 0 {
		return 0
	}
	return (q.nextTurns(caller).latestTurn() - q.turn) * q.callers.Len() * requestsPerTurn
}

// without returns the queue without an item.
func (q rankQueue) without(i queueitem.QueueItem) rankQueue {
	if _, ok := q.items.Get(sortKeyOf(i)); !ok {
		return q
	}
	q.items = q.items.Delete(sortKeyOf(i))
	t, _ := q.callers.Get(i.Request.Caller)
	t.waiting--
	q.callers = q.callers.Set(i.Request.Caller, t)
	return q
}

// withTurnStarted returns the queue with a turn as the current one, unless that or a later one already is. Callers
// without waiting requests are removed if they have no place in the new turn or a later one.
func (q rankQueue) withTurnStarted(turn int) rankQueue {
	if turn <= q.turn {
		return q
	}
	q.turn = turn
	for itr := q.callers.Iterator(); !itr.Done(); {
		if caller, t, _ := itr.Next(); t.waiting == 0 && t.assigned <= turn*requestsPerTurn {
			q.callers = q.callers.Delete(caller)
		}
	}
	return q
}

// withArrival returns the queue with one more arrival at now in its rate.
func (q rankQueue) withArrival(now time.Time) rankQueue {
	q.rate = q.arrivalRate(now) + 1/arrivalRateWindow.Seconds()
	q.rateAt = now
	return q
}

// arrivalRate returns the accepted requests per second as of now.
func (q rankQueue) arrivalRate(now time.Time) float64 {
	if q.rateAt.IsZero() {
		return 0
	}
	left := 1 - now.Sub(q.rateAt).Seconds()/arrivalRateWindow.Seconds()
	return q.rate * max(0, left)
}

// head returns the first preferred item, else the first item, or nil if the queue is empty.
func (q rankQueue) head(isPreferred func(queueitem.QueueItem) bool) *queueitem.QueueItem {
	var first *queueitem.QueueItem
	for itr := q.items.Iterator(); !itr.Done(); {
		_, i, _ := itr.Next()
		if isPreferred(i) {
			return &i
		}
		if first == nil {
			first = &i
		}
	}
	return first
}
