// Package queue schedules the requests that wait for one backend server, by rank, caller and deadline.
package queue

import (
	"slices"
	"time"

	"redwingsill/core/queueitem"
	"redwingsill/core/resource"
)

// dispatchCredit is the lowest credit, in requests, at which a rank runs a request ahead of more urgent ranks. It is just
// below 1, the charge for one request, to allow for rounding errors, since the credit is a sum of floors.
const dispatchCredit = 1 - 1e-9

// minServiceSeconds is the shortest service time, in seconds, and minRankShare the smallest share of the server for a
// rank that [Queue.EstimateWait] assumes. They keep the estimate finite.
const (
	minServiceSeconds = 1e-6
	minRankShare      = 0.01
)

// maxCredit bounds the credit of a rank, in requests, and thus its burst ahead of more urgent ranks.
const maxCredit = 2

// Queue holds the waiting requests of one backend server. It is immutable. The most urgent rank runs first, but each
// rank with waiting requests gets at least its floor, a share of the dispatches. Within a rank callers take turns: a
// turn has up to requestsPerTurn requests of each caller, the earliest deadline first.
type Queue struct {
	rankQueues []rankQueue
	size       int
}

// New returns an empty queue for the ranks.
func New(ranks []resource.Rank) Queue {
	byUrgency := slices.Clone(ranks)
	slices.SortFunc(byUrgency, func(a, b resource.Rank) int { return a.Urgency - b.Urgency })
	q := Queue{}
	for _, r := range byUrgency {
		q.rankQueues = append(q.rankQueues, newRankQueue(r))
	}
	return q
}

// Len returns the number of waiting requests.
func (q Queue) Len() int { return q.size }

// LenOf returns the number of waiting requests of a rank.
func (q Queue) LenOf(rank string) int {
	if i := q.rankIndex(rank); i >= 0 {
		return q.rankQueues[i].items.Len()
	}
	return 0
}

// HasRank reports whether the queue accepts requests of the rank.
func (q Queue) HasRank(rank string) bool { return q.rankIndex(rank) >= 0 }

// IsFull reports whether the rank has reached its queue limit. An unknown rank counts as full.
func (q Queue) IsFull(rank string) bool {
	i := q.rankIndex(rank)
	return i < 0 || q.rankQueues[i].items.Len() >= q.rankQueues[i].rank.QueueLimit
}

// With returns the queue with one more item. Items of unknown ranks are ignored.
func (q Queue) With(i queueitem.QueueItem, now time.Time) Queue {
	n := q.rankIndex(i.Request.Rank)
	if n < 0 {
		return q
	}
	i.RankIndex = n
	q = q.withRankQueue(n, q.rankQueues[n].with(i).withArrival(now))
	q.size++
	return q
}

// Without returns the queue without an item that [Queue.Next] or [Queue.Items] returned.
func (q Queue) Without(i queueitem.QueueItem) Queue {
	before := q.rankQueues[i.RankIndex].items.Len()
	q = q.withRankQueue(i.RankIndex, q.rankQueues[i.RankIndex].without(i))
	q.size += q.rankQueues[i.RankIndex].items.Len() - before
	return q
}

// WithRanks returns the queue with new ranks, and the items that were dropped because their rank was removed. The other
// items count as arrivals at now, and all credits become 0.
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

// Items returns all waiting requests, the most urgent rank first.
func (q Queue) Items() []queueitem.QueueItem {
	var all []queueitem.QueueItem
	for _, r := range q.rankQueues {
		for itr := r.items.Iterator(); !itr.Done(); {
			_, i, _ := itr.Next()
			all = append(all, i)
		}
	}
	return all
}

// Next returns the item to run next and the queue with its credits updated, or false if the queue is empty. Within a
// rank the first item that isPreferred accepts precedes all others. The item stays in the queue until [Queue.Without].
func (q Queue) Next(isPreferred func(queueitem.QueueItem) bool) (queueitem.QueueItem, Queue, bool) {
	heads := make([]*queueitem.QueueItem, len(q.rankQueues))
	first := -1
	for n, r := range q.rankQueues {
		heads[n] = r.head(isPreferred)
		if heads[n] != nil && first < 0 {
			first = n
		}
	}
	if first < 0 {
		return queueitem.QueueItem{}, q, false
	}
	chosen := first
	for n := first + 1; n < len(q.rankQueues); n++ {
		if heads[n] != nil && q.rankQueues[n].credit >= dispatchCredit {
			chosen = n
			break
		}
	}
	q = q.withCharge(chosen, heads)
	q.rankQueues[chosen] = q.rankQueues[chosen].withTurnStarted(heads[chosen].Turn)
	return *heads[chosen], q, true
}

// EstimateWait estimates how long a new request of a caller in a rank waits, given the mean service time and the number
// of slots. The requests ahead are those of more urgent ranks, plus those of the rank itself divided by the share of the
// server that the arrivals of more urgent ranks and the floors of less urgent ones leave to it. Those of the rank itself
// are its waiting requests, or the requests that may run before the caller's next one if these are more.
func (q Queue) EstimateWait(rank, caller string, serviceTime time.Duration, slots float64, now time.Time) time.Duration {
	n := q.rankIndex(rank)
	if n < 0 {
		return 0
	}
	capacity := slots / max(serviceTime.Seconds(), minServiceSeconds)
	taken, ahead := 0.0, 0.0
	for i, r := range q.rankQueues {
		switch {
		case i < n:
			taken += r.arrivalRate(now) / capacity
			ahead += float64(r.items.Len())
		case i > n && r.items.Len() > 0:
			taken += r.rank.Floor
		}
	}
	share := max(q.rankQueues[n].rank.Floor, 1-taken, minRankShare)
	own := max(q.rankQueues[n].items.Len(), q.rankQueues[n].aheadOf(caller))
	work := ahead + float64(own)/share
	return time.Duration(work / capacity * float64(time.Second))
}

// withCharge returns the queue after a dispatch from the chosen rank queue: the credit of each rank with waiting
// requests grows by its floor, and that of the chosen one falls by one request.
func (q Queue) withCharge(chosen int, heads []*queueitem.QueueItem) Queue {
	rankQueues := slices.Clone(q.rankQueues)
	for n := range rankQueues {
		if heads[n] != nil {
			rankQueues[n].credit = min(maxCredit, rankQueues[n].credit+rankQueues[n].rank.Floor)
		}
	}
	rankQueues[chosen].credit = max(0, rankQueues[chosen].credit-1)
	q.rankQueues = rankQueues
	return q
}

func (q Queue) withRankQueue(n int, r rankQueue) Queue {
	rankQueues := slices.Clone(q.rankQueues)
	rankQueues[n] = r
	q.rankQueues = rankQueues
	return q
}

// rankIndex returns the index of the rank's queue, or -1 for an unknown rank.
func (q Queue) rankIndex(rank string) int {
	for n, r := range q.rankQueues {
		if r.rank.Name == rank {
			return n
		}
	}
	return -1
}
