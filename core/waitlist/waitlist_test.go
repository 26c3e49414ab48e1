package waitlist_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"redwingsill/core/slotrequest"
	"redwingsill/core/waitlist"
)

var start = time.Unix(1000, 0)

func newRequest(ticket uint64, rank int, objective, deadline time.Duration) slotrequest.SlotRequest {
	return slotrequest.SlotRequest{Ticket: ticket, Rank: rank, Objective: start.Add(objective), Deadline: start.Add(deadline)}
}

func order(w waitlist.Waitlist) string {
	tickets := []uint64{}
	w.Each(func(r slotrequest.SlotRequest) bool {
		tickets = append(tickets, r.Ticket)
		return true
	})
	return fmt.Sprint(tickets)
}

// countAhead counts one by one what Ahead counts.
func countAhead(w waitlist.Waitlist, r slotrequest.SlotRequest) map[int]int {
	ahead := map[int]int{}
	w.With(r, false).Each(func(other slotrequest.SlotRequest) bool {
		if other.Ticket != r.Ticket {
			ahead[other.Rank]++
		}
		return other.Ticket != r.Ticket
	})
	return ahead
}

// The number of requests ahead decides on refusals. It must be the same as counted one by one, whatever was added, removed and
// found late before.
func TestAheadCountsWhatPrecedes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := waitlist.New()
		drawRequest := func(ticket uint64) slotrequest.SlotRequest {
			milliseconds := rapid.IntRange(-300, 1000)
			return newRequest(ticket, rapid.IntRange(0, 2).Draw(t, "rank"), time.Duration(milliseconds.Draw(t, "objective"))*time.Millisecond,
				time.Duration(milliseconds.Draw(t, "deadline"))*time.Millisecond)
		}
		for n := range rapid.IntRange(0, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				w = w.Without(uint64(rapid.IntRange(0, n).Draw(t, "ticket")))
			case 1:
				w = w.WithLateLast(start.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "now"))*time.Millisecond), func(int) time.Duration { return 100 * time.Millisecond })
			default:
				w = w.With(drawRequest(uint64(rapid.IntRange(0, n).Draw(t, "ticket"))), rapid.Bool().Draw(t, "late"))
			}
		}
		r := drawRequest(1000)
		want := countAhead(w, r)
		if got := w.Ahead(r); fmt.Sprint(got) != fmt.Sprint(want) {
			t.Fatalf("ahead: %v, want %v", got, want)
		}
	})
}

func TestOrder(t *testing.T) {
	w := waitlist.New().
		With(newRequest(1, 1, time.Second, 2*time.Second), false).
		With(newRequest(2, 0, 3*time.Second, 4*time.Second), false).
		With(newRequest(3, 0, time.Second, 5*time.Second), true).
		With(newRequest(4, 1, 500*time.Millisecond, 2*time.Second), false).
		With(newRequest(5, 0, 2*time.Second, 3*time.Second), false)
	if got, want := order(w), "[5 2 3 4 1]"; got != want {
		t.Errorf("order: %s, want %s", got, want)
	}
	if got := w.Ahead(newRequest(9, 1, 700*time.Millisecond, 2*time.Second)); got[0] != 3 || got[1] != 1 {
		t.Errorf("ahead: %v, want 3 of rank 0 and 1 of rank 1", got)
	}
	late := w.WithLateLast(start.Add(600*time.Millisecond), func(int) time.Duration { return 300 * time.Millisecond })
	if got, want := order(late), "[5 2 3 1 4]"; got != want {
		t.Errorf("order with request 4 late: %s, want %s", got, want)
	}
	if got, want := order(w.Without(2).Without(77)), "[5 3 4 1]"; got != want || w.Len() != 5 {
		t.Errorf("order without request 2: %s, want %s; the original list has %d requests", got, want, w.Len())
	}
}
