// Package queue holds the requests that wait at one backend server, by rank.
package queue

import (
	"slices"
	"time"

	"redwingsill/core/queueitem"
	"redwingsill/core/resource"
)

// fullCredit is the credit that buys one request, less what adding up shares rounds off.
const fullCredit = 1 - 1e-9

// maxCredit bounds the work that a floor may save up while its rank has nothing to do.
const maxCredit = 2

// Queue is the waiting requests of one backend server. It is immutable. The most urgent rank goes first, but each rank
// that waits receives at least its floor. Within a rank callers take turns, and within
// a turn the earliest deadline goes first.
type Queue struct {
	lanes []lane
	size  int
}

// New returns an empty queue for the ranks.
func New(ranks []resource.Rank) Queue {
	sorted := slices.Clone(ranks)
	slices.SortFunc(sorted, func(a, b resource.Rank) int { return a.Urgency - b.Urgency })
	q := Queue{}
	for _, r := range sorted {
		q.lanes = append(q.lanes, newLane(r))
	}
	return q
}

// Len returns the number of waiting requests.
func (q Queue) Len() int { return q.size }

// LenOf returns the number of waiting requests of a rank.
func (q Queue) LenOf(rank string) int {
	if i := q.index(rank); i >= 0 {
		return q.lanes[i].items.Len()
	}
	return 0
}

// HasRank reports whether the queue knows the rank.
func (q Queue) HasRank(rank string) bool { return q.index(rank) >= 0 }

// IsFull reports whether the rank's own bound is reached.
func (q Queue) IsFull(rank string) bool {
	i := q.index(rank)
	return i < 0 || q.lanes[i].items.Len() >= q.lanes[i].rank.QueueLimit
}

// With returns the queue with one more item.
func (q Queue) With(i queueitem.QueueItem, now time.Time) Queue {
	n := q.index(i.Request.Rank)
	if n < 0 {
		return q
	}
	i.Rank = n
	q = q.withLane(n, q.lanes[n].with(i).withArrival(now))
	q.size++
	return q
}

// Without returns the queue without an item that [Queue.Next] or [Queue.Items] returned.
func (q Queue) Without(i queueitem.QueueItem) Queue {
	before := q.lanes[i.Rank].items.Len()
	q = q.withLane(i.Rank, q.lanes[i.Rank].without(i))
	q.size += q.lanes[i.Rank].items.Len() - before
	return q
}

// WithRanks returns the queue for other ranks. Requests of ranks that are gone are returned.
func (q Queue) WithRanks(ranks []resource.Rank, now time.Time) (Queue, []queueitem.QueueItem) {
	next := New(ranks)
	var dropped []queueitem.QueueItem
	for _, i := range q.Items() {
		if next.HasRank(i.Request.Rank) {
			next = next.With(i, now)
		} else {
			dropped = append(dropped, i)
		}
	}
	return next, dropped
}

// Items returns all waiting requests, the most urgent ranks first.
func (q Queue) Items() []queueitem.QueueItem {
	var all []queueitem.QueueItem
	for _, l := range q.lanes {
		for itr := l.items.Iterator(); !itr.Done(); {
			_, i, _ := itr.Next()
			all = append(all, i)
		}
	}
	return all
}

// Next returns the item to run next, and the queue charged for it. Within a rank the first item that isPreferred
// accepts goes before all others. The item stays in the queue until [Queue.Without].
func (q Queue) Next(isPreferred func(queueitem.QueueItem) bool) (queueitem.QueueItem, Queue, bool) {
	heads := make([]*queueitem.QueueItem, len(q.lanes))
	first := -1
	for n, l := range q.lanes {
		heads[n] = l.head(isPreferred)
		if heads[n] != nil && first < 0 {
			first = n
		}
	}
	if first < 0 {
		return queueitem.QueueItem{}, q, false
	}
	chosen := first
	for n := first + 1; n < len(q.lanes); n++ {
		if heads[n] != nil && q.lanes[n].credit >= fullCredit {
			chosen = n
			break
		}
	}
	q = q.charged(chosen, heads)
	q.lanes[chosen] = q.lanes[chosen].started(heads[chosen].Turn)
	return *heads[chosen], q, true
}

// Wait estimates how long a new request of a caller in a rank waits, where one request takes a slot for service, from its rank's
// own backlog and the share of the work that the more urgent ranks and the others' floors leave it.
func (q Queue) Wait(rank, caller string, service time.Duration, slots float64, now time.Time) time.Duration {
	n := q.index(rank)
	if n < 0 {
		return 0
	}
	capacity := slots / max(service.Seconds(), 1e-6)
	taken, ahead := 0.0, 0.0
	for i, l := range q.lanes {
		switch {
		case i < n:
			taken += l.rateAtTime(now) / capacity
			ahead += float64(l.items.Len())
		case i > n && l.items.Len() > 0:
			taken += l.rank.Floor
		}
	}
	share := max(q.lanes[n].rank.Floor, 1-taken, 0.01)
	own := max(q.lanes[n].items.Len(), q.lanes[n].aheadOf(caller))
	work := ahead + float64(own)/share
	return time.Duration(work / capacity * float64(time.Second))
}

// charged returns the queue after a dispatch of the chosen lane: each lane that waits earns its floor, and the chosen
// one pays.
func (q Queue) charged(chosen int, heads []*queueitem.QueueItem) Queue {
	lanes := slices.Clone(q.lanes)
	for n := range lanes {
		if heads[n] != nil {
			lanes[n].credit = min(maxCredit, lanes[n].credit+lanes[n].rank.Floor)
		}
	}
	lanes[chosen].credit = max(0, lanes[chosen].credit-1)
	q.lanes = lanes
	return q
}

func (q Queue) withLane(n int, l lane) Queue {
	lanes := slices.Clone(q.lanes)
	lanes[n] = l
	q.lanes = lanes
	return q
}

func (q Queue) index(rank string) int {
	for n, l := range q.lanes {
		if l.rank.Name == rank {
			return n
		}
	}
	return -1
}

// head returns the first preferred item of the lane, else the first of all, else nil.
func (l lane) head(isPreferred func(queueitem.QueueItem) bool) *queueitem.QueueItem {
	var first *queueitem.QueueItem
	for itr := l.items.Iterator(); !itr.Done(); {
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
