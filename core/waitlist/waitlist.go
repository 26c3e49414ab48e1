// Package waitlist orders the requests that wait for a slot.
package waitlist

import (
	"time"

	"github.com/benbjohnson/immutable"

	"redwingsill/core/slotrequest"
)

// Waitlist is requests in the order in which they should run. It is immutable. A more urgent rank goes first. Within a
// rank, requests that can still meet their objective go before those that can't, each by the time that is left.
type Waitlist struct {
	asks    *immutable.SortedMap[place, slotrequest.SlotRequest]
	tickets *immutable.Map[uint64, place]
}

// New returns an empty list.
func New() Waitlist {
	return Waitlist{asks: immutable.NewSortedMap[place, slotrequest.SlotRequest](comparer{}), tickets: immutable.NewMap[uint64, place](nil)}
}

// Len returns the number of requests.
func (w Waitlist) Len() int { return w.asks.Len() }

// Has reports whether the ticket's request waits.
func (w Waitlist) Has(ticket uint64) bool {
	_, ok := w.tickets.Get(ticket)
	return ok
}

// With returns the list with one more request.
func (w Waitlist) With(a slotrequest.SlotRequest, isLate bool) Waitlist {
	p := placeOf(a, isLate)
	return Waitlist{asks: w.asks.Set(p, a), tickets: w.tickets.Set(a.Ticket, p)}
}

// Without returns the list without a request.
func (w Waitlist) Without(ticket uint64) Waitlist {
	p, ok := w.tickets.Get(ticket)
	if !ok {
		return w
	}
	return Waitlist{asks: w.asks.Delete(p), tickets: w.tickets.Delete(ticket)}
}

// Ahead returns how many requests of each rank would go before a request.
func (w Waitlist) Ahead(a slotrequest.SlotRequest) map[int]int {
	ahead := map[int]int{}
	p := placeOf(a, false)
	for itr := w.asks.Iterator(); !itr.Done(); {
		other, waiting, _ := itr.Next()
		if (comparer{}).Compare(other, p) >= 0 {
			break
		}
		ahead[waiting.Rank]++
	}
	return ahead
}

// Each calls f with each request in order until f returns false.
func (w Waitlist) Each(f func(slotrequest.SlotRequest) bool) {
	for itr := w.asks.Iterator(); !itr.Done(); {
		if _, a, _ := itr.Next(); !f(a) {
			return
		}
	}
}

// Late returns the list in which requests that would miss their objective if they began at now have moved behind those
// of their rank that would not. The function work returns how long a request of a rank takes.
func (w Waitlist) Late(now time.Time, work func(rank int) time.Duration) Waitlist {
	var moved []slotrequest.SlotRequest
	for itr := w.asks.Iterator(); !itr.Done(); {
		p, a, _ := itr.Next()
		if !p.isLate && now.Add(work(a.Rank)).After(a.Objective) {
			moved = append(moved, a)
		}
	}
	for _, a := range moved {
		w = w.Without(a.Ticket).With(a, true)
	}
	return w
}
