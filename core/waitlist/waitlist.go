// Package waitlist orders the requests that wait for a slot.
package waitlist

import (
	"time"

	"github.com/benbjohnson/immutable"

	"redwingsill/core/slotrequest"
)

// Waitlist holds slot requests in the order in which they should run. It is immutable. More urgent ranks come first.
// Within a rank, requests that can still meet their objective come first, by objective, and late ones after them, by
// deadline.
type Waitlist struct {
	requests *immutable.SortedMap[sortKey, slotrequest.SlotRequest]
	// sortKeys gives the sort key of each ticket's request.
	sortKeys *immutable.Map[uint64, sortKey]
	// counts gives the number of requests in each bucket, so that Ahead need not pass over thousands of requests.
	counts *immutable.SortedMap[sortKey, int]
	// keyless is the number of requests without a key.
	keyless int
}

// New returns an empty list.
func New() Waitlist {
	return Waitlist{requests: immutable.NewSortedMap[sortKey, slotrequest.SlotRequest](comparer{}), sortKeys: immutable.NewMap[uint64, sortKey](nil),
		counts: immutable.NewSortedMap[sortKey, int](comparer{})}
}

// Len returns the number of requests.
func (w Waitlist) Len() int { return w.requests.Len() }

// Keyless returns the number of requests without a key.
func (w Waitlist) Keyless() int { return w.keyless }

// Has reports whether the list contains the ticket.
func (w Waitlist) Has(ticket uint64) bool {
	_, ok := w.sortKeys.Get(ticket)
	return ok
}

// With returns the list with one more request. Late requests are ordered after those that can meet their objective.
func (w Waitlist) With(r slotrequest.SlotRequest, isLate bool) Waitlist {
	w = w.Without(r.Ticket)
	key := sortKeyOf(r, isLate)
	count, _ := w.counts.Get(key.bucket())
	if !r.HasKey() {
		w.keyless++
	}
	return Waitlist{requests: w.requests.Set(key, r), sortKeys: w.sortKeys.Set(r.Ticket, key), counts: w.counts.Set(key.bucket(), count+1), keyless: w.keyless}
}

// Without returns the list without the ticket's request.
func (w Waitlist) Without(ticket uint64) Waitlist {
	key, ok := w.sortKeys.Get(ticket)
	if !ok {
		return w
	}
	counts := w.counts.Delete(key.bucket())
	if count, _ := w.counts.Get(key.bucket()); count > 1 {
		counts = w.counts.Set(key.bucket(), count-1)
	}
	if r, _ := w.requests.Get(key); !r.HasKey() {
		w.keyless--
	}
	return Waitlist{requests: w.requests.Delete(key), sortKeys: w.sortKeys.Delete(ticket), counts: counts, keyless: w.keyless}
}

// Ahead returns, by rank, how many requests of the list would precede r if r could meet its objective.
func (w Waitlist) Ahead(r slotrequest.SlotRequest) map[int]int {
	ahead := map[int]int{}
	key := sortKeyOf(r, false)
	bucket := key.bucket()
	for itr := w.counts.Iterator(); !itr.Done(); {
		other, count, _ := itr.Next()
		if (comparer{}).Compare(other, bucket) >= 0 {
			break
		}
		ahead[other.rank] += count
	}
	itr := w.requests.Iterator()
	for itr.Seek(bucket); !itr.Done(); {
		if other, _, _ := itr.Next(); (comparer{}).Compare(other, key) >= 0 {
			break
		}
		ahead[key.rank]++
	}
	return ahead
}

// Each calls f with each request in order until f returns false.
func (w Waitlist) Each(f func(slotrequest.SlotRequest) bool) {
	for itr := w.requests.Iterator(); !itr.Done(); {
		if _, r, _ := itr.Next(); !f(r) {
			return
		}
	}
}

// WithLateLast returns the list with the requests that would miss their objective, even if they started now, moved
// behind the others of their rank. The function serviceTime returns how long a request of a rank takes.
func (w Waitlist) WithLateLast(now time.Time, serviceTime func(rank int) time.Duration) Waitlist {
	var moved []slotrequest.SlotRequest
	for itr := w.requests.Iterator(); !itr.Done(); {
		key, r, _ := itr.Next()
		if !key.isLate && now.Add(serviceTime(r.Rank)).After(r.Objective) {
			moved = append(moved, r)
		}
	}
	for _, r := range moved {
		w = w.Without(r.Ticket).With(r, true)
	}
	return w
}
