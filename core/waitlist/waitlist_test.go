package waitlist_test

import (
	"fmt"
	"testing"
	"time"

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
